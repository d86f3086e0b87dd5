package org.fuchsiadeck.node.front;

import java.util.concurrent.atomic.AtomicLong;

import org.fuchsiadeck.core.model.NodeId;
import org.fuchsiadeck.core.model.RequestId;

/**
 * Makes request ids that are unique over all nodes.
 */
final class RequestIds {
    private static final int RADIX = 36;

    private final String prefix;
    private final AtomicLong count = new AtomicLong();

    RequestIds(NodeId node) {
        String clean = node.value().replaceAll("[^A-Za-z0-9._-]", "_");
        String start = Long.toString(System.currentTimeMillis(), RADIX);
        this.prefix = clean.substring(0, Math.min(clean.length(), 32)) + "-" + start + "-";
    }

    RequestId next() {
        return new RequestId(prefix + Long.toString(count.incrementAndGet(), RADIX));
    }
}
