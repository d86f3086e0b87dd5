package org.fuchsiadeck.core.duty;

import org.fuchsiadeck.core.View;
import org.fuchsiadeck.core.platform.WatchedKeys;

import static java.util.Objects.requireNonNull;

/**
 * What a node knows of the duties, and which of them it is at.
 *
 * @param rules how the duties are carried out
 * @param keys the keys of the duties in the platform's service
 * @param candidate whether this node may take the duties
 * @param holding whether this node holds the duties
 * @param usage the reports of use
 * @param orders the orders of backend servers
 * @param use the records of what is spent
 * @param term whether there was a holder before
 */
public record DutyState(
        DutyRules rules,
        WatchedKeys keys,
        boolean candidate,
        Holding holding,
        UsageDuty usage,
        OrderDuty orders,
        UseDuty use,
        Term term) {
    static final String PREFIX = "duty/";

    /** The holder changes seldom, and its lease bounds what can go wrong meanwhile. */
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
     * @param rules how the duties are carried out
     * @return the state
     */
    public static DutyState initial(DutyRules rules) {
        return new DutyState(
                rules,
                WatchedKeys.of(PREFIX, WATCH_WAIT_MS),
                true,
                Holding.NONE,
                UsageDuty.NONE,
                OrderDuty.NONE,
                UseDuty.NONE,
                Term.UNKNOWN);
    }

    /** Tells whether the node may make calls that only one holder may make. */
    boolean mayAct(View view) {
        return holding.holds(view)
                && term.first()
                        .filter(first -> first || holding.since(view) >= rules.leaseMs())
                        .isPresent();
    }

    /** Tells whether the node has to know who holds the duties. */
    boolean follows() {
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

    DutyState with(Holding next) {
        return new DutyState(rules, keys, candidate, next, usage, orders, use, term);
    }

    DutyState with(UsageDuty next) {
        return new DutyState(rules, keys, candidate, holding, next, orders, use, term);
    }

    DutyState with(OrderDuty next) {
        return new DutyState(rules, keys, candidate, holding, usage, next, use, term);
    }

    DutyState with(UseDuty next) {
        return new DutyState(rules, keys, candidate, holding, usage, orders, next, term);
    }

    DutyState with(Term next) {
        return new DutyState(rules, keys, candidate, holding, usage, orders, use, next);
    }
}
