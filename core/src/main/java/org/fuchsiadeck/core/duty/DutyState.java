package org.fuchsiadeck.core.duty;

import org.fuchsiadeck.core.View;
import org.fuchsiadeck.core.platform.Position;
import org.fuchsiadeck.core.platform.WatchedKeys;

import static java.util.Objects.requireNonNull;

/**
 * State of the leader election and of the calls that the leader makes.
 *
 * @param rules the time limits
 * @param keys the "duty/" keys in the platform's key-value service
 * @param candidate whether this node may become leader
 * @param holding this node's leadership
 * @param usage the usage reports
 * @param orders the orders of backend servers
 * @param use the records of quota usage
 * @param term whether this node is the first leader
 */
public record DutyState(
        DutyRules rules,
        WatchedKeys keys,
        boolean candidate,
        Leadership holding,
        UsageReporter usage,
        Autoscaler orders,
        UsageRecordWriter use,
        FirstLeaderCheck term) {
    static final String KEY_PREFIX = "duty/";

    /** Long, because the leader changes rarely and its lease limits the effect of stale data. */
    static final long WATCH_WAIT_MS = 5_000;

    public DutyState {
        requireNonNull(rules, "rules");
        requireNonNull(keys, "keys");
        requireNonNull(holding, "holding");
        requireNonNull(usage, "usage");
        requireNonNull(orders, "orders");
        requireNonNull(use, "use");
        requireNonNull(term, "term");
    }

    /**
     * Returns the state of a node that has just started.
     *
     * @param rules the time limits
     * @return the state
     */
    public static DutyState initial(DutyRules rules) {
        return new DutyState(
                rules,
                WatchedKeys.of(KEY_PREFIX, WATCH_WAIT_MS),
                true,
                Leadership.NONE,
                UsageReporter.NONE,
                Autoscaler.NONE,
                UsageRecordWriter.NONE,
                FirstLeaderCheck.UNKNOWN);
    }

    /**
     * Returns whether the node may make calls that carry a fencing token: it is the leader, and either the first one or
     * leader for at least the lease time, so that calls of an earlier leader have ended. A lease of an earlier era of the
     * service proves nothing.
     */
    boolean mayAct(View view) {
        return holding.isLeader(view)
                && Position.era(holding.fencingToken()) >= Position.era(keys.newest())
                && term.first()
                        .filter(first -> first || holding.heldForMs(view) >= rules.leaseMs())
                        .isPresent();
    }

    /** Returns whether the node needs to know who the leader is. */
    boolean watchesKeys() {
        return candidate || holding.lease().isPresent();
    }

    DutyState candidate(boolean next) {
        return new DutyState(rules, keys, next, holding, usage, orders, use, term);
    }

    DutyState with(DutyRules next) {
        return new DutyState(next, keys, candidate, holding, usage, orders, use, term);
    }

    DutyState with(WatchedKeys next) {
        return new DutyState(rules, next, candidate, holding, usage, orders, use, term);
    }

    DutyState with(Leadership next) {
        return new DutyState(rules, keys, candidate, next, usage, orders, use, term);
    }

    DutyState with(UsageReporter next) {
        return new DutyState(rules, keys, candidate, holding, next, orders, use, term);
    }

    DutyState with(Autoscaler next) {
        return new DutyState(rules, keys, candidate, holding, usage, next, use, term);
    }

    DutyState with(UsageRecordWriter next) {
        return new DutyState(rules, keys, candidate, holding, usage, orders, next, term);
    }

    DutyState with(FirstLeaderCheck next) {
        return new DutyState(rules, keys, candidate, holding, usage, orders, use, next);
    }
}
