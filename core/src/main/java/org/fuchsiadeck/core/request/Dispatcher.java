package org.fuchsiadeck.core.request;

import java.util.List;
import java.util.Optional;
import java.util.function.ToIntFunction;

import org.fuchsiadeck.core.config.Policy;
import org.fuchsiadeck.core.limit.ServiceLoad;
import org.fuchsiadeck.core.model.Backend;
import org.fuchsiadeck.core.model.EngineTime;
import org.fuchsiadeck.core.request.RequestEvent.Timer;
import org.fuchsiadeck.core.request.RequestEvent.TimerFired;
import org.fuchsiadeck.core.routing.Choice;
import org.fuchsiadeck.core.routing.Placement;
import org.fuchsiadeck.core.routing.Placement.Availability;
import org.fuchsiadeck.core.routing.Placement.Found;
import org.fuchsiadeck.core.routing.Query;
import org.fuchsiadeck.core.routing.Server;
import org.fuchsiadeck.core.share.ShareEvent;

/**
 * Finds a backend server for a request and sends the request there.
 */
final class Dispatcher {
    private static final long MIN_RETRY_AFTER_MS = 1_000;

    private Dispatcher() {}

    static Found find(Turn turn, Exchange exchange) {
        turn.fleet(
                f -> f.pooled(exchange.need(), turn.view().self(), turn.view().peers()));
        long seed = turn.draw();
        Query query = new Query(
                turn.nowMs(),
                turn.view().self().zone(),
                prefix(exchange),
                turn.state().fleet().sent(),
                seed,
                turn.state().counters().dispatched(),
                b -> Policies.relativeWeight(turn, exchange, b),
                exchange.route().terms().targetMs(),
                prompt(exchange),
                b -> turn.view().use().inFlightElsewhere(turn.nowMs(), b.id()),
                b -> turn.view().use().unreadElsewhere(turn.nowMs(), b.id()),
                turn.view().peers().alive().size() + 1);
        ToIntFunction<Backend> max = b -> Policies.of(turn, b).backendConcurrency();
        return new Placement(turn.state().fleet(), turn.view().shares(), turn.router(), max)
                .find(exchange.wanted(), query);
    }

    /** Tells why a fresh request must be refused, if it must. */
    static Optional<Refusal> refusal(Turn turn, Exchange exchange, Availability availability) {
        return switch (availability) {
            case NONE -> Optional.of(new Refusal("no_backend", turn.spread(MIN_RETRY_AFTER_MS)));
            case SUSPECTED -> Optional.of(new Refusal("backends_suspected", turn.spread(suspectMs(turn, exchange))));
            default -> Optional.empty();
        };
    }

    static void dispatch(Turn turn, Exchange exchange, Choice choice, Cause cause) {
        dispatch(turn, exchange, choice, cause, Optional.empty());
    }

    static void dispatch(Turn turn, Exchange exchange, Choice choice, Cause cause, Optional<Backend> importFrom) {
        Server server = choice.server();
        Backend backend = server.backend();
        int number = exchange.history().attempts() + 1;
        long now = turn.nowMs();
        long due = now + Policies.of(turn, exchange, backend).connectTimeoutMs();
        int tokens = exchange.history().delivered();
        int unread = unread(exchange, choice);
        Attempt attempt = Attempt.dispatched(number, server, cause, now, tokens, due, unread);
        turn.keep(exchange.dispatched(attempt));
        turn.fleet(f -> f.with(
                        backend.id(),
                        s -> s.attempts(1).reading(unread).with(s.health().dispatched(now)))
                .sent(prefix(exchange), backend.id()));
        turn.load(exchange.route().service(), ServiceLoad::withDispatch);
        turn.count(c -> c.dispatchedOne(cause));
        if (number == 1) {
            exchange.call()
                    .completion()
                    .ifPresent(c -> turn.load(
                            exchange.route().service(),
                            l -> l.withNewRequest(EngineTime.ofRequestMs(unread, c.maxTokens()))));
        } else {
            turn.raise(new ShareEvent.Repeated(exchange.route().service()));
        }
        turn.decide(exchange, Decision.Kind.DISPATCHED, Optional.of(backend), cause + " " + choice.reason());
        long left = Math.max(1, exchange.deadlineMs() - now);
        turn.effect(new RequestEffect.Dispatch(
                exchange.id(), number, backend, freshMs(turn, exchange, server), left, importFrom));
        turn.schedule(due, new TimerFired(exchange.id(), Timer.CONNECT, number));
    }

    /**
     * Returns how recently a kept connection must have answered. What silenced one connection may have silenced others:
     * to the same server, and to all servers from this node.
     */
    private static long freshMs(Turn turn, Exchange exchange, Server server) {
        if (!server.health().clean()) {
            return 0;
        }
        boolean trusting = exchange.idempotent() && exchange.history().failures() == 0;
        Policy policy = Policies.of(turn, exchange, server.backend());
        return trusting ? policy.connectionMaxAgeMs() : policy.freshConnectionMs();
    }

    private static int unread(Exchange exchange, Choice choice) {
        return Math.min(prompt(exchange).tokens(), choice.unread());
    }

    private static long suspectMs(Turn turn, Exchange exchange) {
        return Math.max(MIN_RETRY_AFTER_MS, Policies.of(turn, exchange).suspectMs());
    }

    private static Query.Prompt prompt(Exchange exchange) {
        return exchange.call()
                .completion()
                .map(c -> new Query.Prompt(c.promptTokens(), c.prefixTokens()))
                .orElse(Query.Prompt.NONE);
    }

    private static List<Long> prefix(Exchange exchange) {
        return exchange.call()
                .completion()
                .map(CallerRequest.Completion::prefix)
                .orElse(List.of());
    }
}
