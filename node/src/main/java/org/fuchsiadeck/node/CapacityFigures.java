package org.fuchsiadeck.node;

import org.fuchsiadeck.core.NodeState;
import org.fuchsiadeck.core.limit.ServiceLoad;

/** The figures of the services whose capacity all nodes share. */
final class CapacityFigures {
    /** The age from which a pool's figures no longer describe the present, in milliseconds: nothing was sent since. */
    private static final long MAX_AGE_MS = 2_000;

    private CapacityFigures() {}

    /** Returns the attempts in use per slot of the fullest pool; 0 if no request was placed lately. */
    static double inUse(NodeState state, long nowMs) {
        return state.requests()
                .loads()
                .values()
                .map(l -> l.capacity().inUse(nowMs - MAX_AGE_MS))
                .max()
                .getOrElse(0.0);
    }

    /** Returns the requests queued at all nodes, by recent reports. */
    static long waiting(NodeState state, long nowMs) {
        return state.requests()
                .loads()
                .filter((service, load) -> !load.capacity().pools().isEmpty())
                .keySet()
                .toJavaStream()
                .mapToLong(s -> state.requests().waiting().getOrDefault(s, 0)
                        + state.use().waitingElsewhere(nowMs, s))
                .sum();
    }

    /** Returns the requests sent while their pool was full. */
    static long releases(NodeState state) {
        return state.requests()
                .loads()
                .values()
                .map(ServiceLoad::capacity)
                .map(c -> c.releases())
                .sum()
                .longValue();
    }
}
