package org.fuchsiadeck.node.front;

import org.fuchsiadeck.node.exchange.Refusal;

/**
 * A caller's request that can't be taken.
 */
final class BadCallException extends Exception {
    private static final long serialVersionUID = 1;

    private final transient Refusal refusal;

    BadCallException(int status, String reason, String detail) {
        super(detail);
        this.refusal = Refusal.notRun(status, reason, detail);
    }

    Refusal refusal() {
        return refusal;
    }
}
