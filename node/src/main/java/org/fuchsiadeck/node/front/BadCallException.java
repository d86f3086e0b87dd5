package org.fuchsiadeck.node.front;

import org.fuchsiadeck.node.exchange.Refusal;

/**
 * A caller's request that can't be taken.
 */
public final class BadCallException extends Exception {
    private static final long serialVersionUID = 1;

    private final transient Refusal refusal;
    private final boolean byConfiguration;

    /**
     * Makes an exception for a request that must not be sent again as it is.
     *
     * @param status the HTTP status
     * @param reason a short machine-readable reason
     * @param detail one sentence for a person
     */
    public BadCallException(int status, String reason, String detail) {
        this(Refusal.notRun(status, reason, detail));
    }

    /**
     * Makes an exception with a refusal.
     *
     * @param refusal the answer to the caller
     */
    public BadCallException(Refusal refusal) {
        this(refusal, false);
    }

    private BadCallException(Refusal refusal, boolean byConfiguration) {
        super(refusal.detail());
        this.refusal = refusal;
        this.byConfiguration = byConfiguration;
    }

    /**
     * Makes an exception for a request that a newer configuration might allow.
     *
     * @param status the HTTP status
     * @param reason a short machine-readable reason
     * @param detail one sentence for a person
     * @return the exception
     */
    public static BadCallException byConfiguration(int status, String reason, String detail) {
        return new BadCallException(Refusal.notRun(status, reason, detail), true);
    }

    /**
     * Returns whether a newer configuration might allow the request.
     *
     * @return whether the refusal rests on the configuration in force
     */
    public boolean isByConfiguration() {
        return byConfiguration;
    }

    /**
     * Returns the answer to the caller.
     *
     * @return the refusal
     */
    public Refusal refusal() {
        return refusal;
    }
}
