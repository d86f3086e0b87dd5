package org.fuchsiadeck.core.request;

import java.util.Optional;

import org.fuchsiadeck.core.claim.ClaimEvent;
import org.fuchsiadeck.core.config.Route;
import org.fuchsiadeck.core.model.TeamId;
import org.fuchsiadeck.core.request.RequestEvent.Timer;
import org.fuchsiadeck.core.routing.Placement.Found;
import org.fuchsiadeck.core.routing.SplitMix;
import org.fuchsiadeck.core.share.ShareEvent;

/**
 * Takes a request in, or refuses it at once.
 */
final class Arrivals {
    private static final int NOT_FOUND = 404;
    private static final int TOO_LARGE = 413;
    private static final long MIN_WAIT_MS = 1_000;

    private Arrivals() {}

    static void arrived(Turn turn, RequestEvent.Arrived arrived) {
        if (turn.find(arrived.id()).isDefined()) {
            turn.count(Counters::staleOne);
            return;
        }
        CallerRequest call = arrived.call();
        Optional<Route> route = turn.view().config().route(call.origin().host(), call.method(), call.path());
        if (route.isEmpty()) {
            refuseUnrouted(turn, arrived);
            return;
        }
        double draw = SplitMix.unit(turn.draw());
        Exchange exchange = Exchange.arrived(arrived.id(), call, drawn(turn, route.get()), turn.nowMs(), draw);
        if (turn.state().drain().isDefined()) {
            Ending.refuse(turn, exchange, new Refusal("draining", turn.spread(MIN_WAIT_MS)));
            return;
        }
        if (call.bodyBytes() > route.get().maxBodyBytes()) {
            Ending.refuse(turn, exchange, new Refusal(TOO_LARGE, "body_too_large", 0));
            return;
        }
        Optional<Refusal> overQuota = Quotas.refusal(turn, exchange);
        if (overQuota.isPresent()) {
            Ending.refuse(turn, exchange, overQuota.get());
            return;
        }
        turn.raise(new ShareEvent.Requested(exchange.route().service()));
        int percent = Policies.of(turn, exchange).retryBudgetPercent();
        turn.state(turn.state().with(turn.state().budget().withNewRequest(percent)));
        take(turn, exchange);
    }

    static void granted(Turn turn, Exchange exchange) {
        if (exchange.stage() == Stage.CLAIMING) {
            admit(turn, exchange, Dispatcher.find(turn, exchange));
        }
    }

    static void denied(Turn turn, Exchange exchange, RequestEvent.Denial denial) {
        if (exchange.stage() != Stage.CLAIMING) {
            return;
        }
        Exchange released = exchange.unclaimed();
        switch (denial) {
            case UNDECIDED -> Ending.refuse(turn, released, new Refusal("claim_undecided", turn.spread(MIN_WAIT_MS)));
            case OUTCOME_UNKNOWN -> Ending.earlierUnknown(turn, released);
            default -> Ending.duplicate(turn, released, denial);
        }
    }

    private static void refuseUnrouted(Turn turn, RequestEvent.Arrived arrived) {
        boolean configured = turn.view().config().revision() > 0
                || !turn.view().config().routes().isEmpty();
        Refusal refusal = configured
                ? new Refusal(NOT_FOUND, "unknown_route", 0)
                : new Refusal("no_configuration", turn.spread(MIN_WAIT_MS));
        Ending.refuseUnknown(turn, arrived.id(), refusal);
    }

    private static void take(Turn turn, Exchange exchange) {
        Found found = Dispatcher.find(turn, exchange);
        Optional<Refusal> refusal = Dispatcher.refusal(turn, exchange, found.availability());
        if (refusal.isPresent()) {
            Ending.refuse(turn, exchange, refusal.get());
            return;
        }
        turn.schedule(exchange.deadlineMs(), new RequestEvent.TimerFired(exchange.id(), Timer.DEADLINE, 0));
        Optional<String> key = exchange.call().idempotencyKey();
        if (exchange.idempotent() || key.isEmpty()) {
            admit(turn, exchange, found);
            return;
        }
        String scoped = scope(exchange.call().team(), exchange.route(), key.get());
        turn.keep(exchange.claiming(scoped));
        turn.raise(new ClaimEvent.Wanted(exchange.id(), scoped));
    }

    private static void admit(Turn turn, Exchange exchange, Found found) {
        Optional<Refusal> refusal = Dispatcher.refusal(turn, exchange, found.availability());
        if (refusal.isPresent()) {
            Ending.refuse(turn, exchange, refusal.get());
        } else if (found.choice().isDefined()) {
            Quotas.charge(turn, exchange);
            Dispatcher.dispatch(turn, exchange, found.choice().get(), Cause.FRESH);
        } else {
            RequestQueues.enqueue(turn, exchange, found);
        }
    }

    private static Route drawn(Turn turn, Route route) {
        return route.terms().shares().isEmpty() ? route : route.drawn(SplitMix.unit(turn.draw()));
    }

    private static String scope(TeamId team, Route route, String key) {
        return escape(team.value()) + "/" + escape(route.name()) + "/" + key;
    }

    private static String escape(String part) {
        return part.replace("%", "%25").replace("/", "%2F");
    }
}
