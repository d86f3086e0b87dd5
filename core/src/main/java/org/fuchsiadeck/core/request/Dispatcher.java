package org.fuchsiadeck.core.request;

import java.util.List;
import java.util.Optional;
import java.util.function.ToIntFunction;

import org.fuchsiadeck.core.config.Policy;
import org.fuchsiadeck.core.limit.ServiceLoad;
import org.fuchsiadeck.core.model.Backend;
import org.fuchsiadeck.core.request.RequestEvent.Timer;
import org.fuchsiadeck.core.request.RequestEvent.TimerFired;
import org.fuchsiadeck.core.routing.BackendStatus;
import org.fuchsiadeck.core.routing.Choice;
import org.fuchsiadeck.core.routing.PlacementFinder;
import org.fuchsiadeck.core.routing.PlacementFinder.Availability;
import org.fuchsiadeck.core.routing.PlacementFinder.PlacementResult;
import org.fuchsiadeck.core.routing.RoutingContext;
import org.fuchsiadeck.core.routing.ServerEstimates;
import org.fuchsiadeck.core.share.ShareEvent;

/**
 * Selects a backend server for a request and dispatches the request to it.
 */
final class Dispatcher {
    private static final long MIN_RETRY_AFTER_MS = 1_000;

    private Dispatcher() {}

    static PlacementResult findServer(RequestReduction reduction, ActiveRequest request) {
        reduction.updateFleet(f -> f.withPool(
                request.need(), reduction.view().self(), reduction.view().peers()));
        long seed = reduction.randomBits();
        RoutingContext query = new RoutingContext(
                reduction.nowMs(),
                reduction.view().self().zone(),
                prefixHashes(request),
                reduction.state().fleet().sent(),
                seed,
                reduction.state().counters().dispatched(),
                b -> Policies.relativeWeight(reduction, request, b),
                request.route().terms().targetMs(),
                prompt(request),
                b -> reduction.view().usage().inFlightElsewhere(reduction.nowMs(), b.id()),
                b -> reduction.view().usage().unreadElsewhere(reduction.nowMs(), b.id()),
                reduction.view().peers().alive().size() + 1,
                estimates(reduction, request, seed));
        ToIntFunction<Backend> max = b -> Policies.of(reduction, b).backendConcurrency();
        PlacementFinder finder =
                new PlacementFinder(reduction.state().fleet(), reduction.view().shares(), reduction.router(), max);
        return SharedScheduling.isOn(reduction, request.route())
                ? CapacityGate.find(reduction, request, finder, query)
                : finder.find(request.wanted(), query);
    }

    private static ServerEstimates estimates(RequestReduction reduction, ActiveRequest request, long seed) {
        ServerEstimates bySpeed = ServerSpeeds.estimates(reduction, request);
        return SharedScheduling.isOn(reduction, request.route())
                ? ZoneSpills.estimates(reduction, request, seed, bySpeed)
                : bySpeed;
    }

    /** Returns the refusal of a new request if no server may take it, now or later in the queue. */
    static Optional<Refusal> refusalFor(RequestReduction reduction, ActiveRequest request, Availability availability) {
        Optional<Refusal> quarantined = PromptChecks.refusal(reduction, request);
        if (quarantined.isPresent()) {
            return quarantined;
        }
        return switch (availability) {
            case NONE -> Optional.of(new Refusal("no_backend", reduction.withJitter(MIN_RETRY_AFTER_MS)));
            case SUSPECTED ->
                Optional.of(
                        new Refusal("backends_suspected", reduction.withJitter(suspicionRetryMs(reduction, request))));
            default -> Optional.empty();
        };
    }

    static void dispatch(RequestReduction reduction, ActiveRequest request, Choice choice, DispatchCause cause) {
        dispatch(reduction, request, choice, cause, Optional.empty());
    }

    static void dispatch(
            RequestReduction reduction,
            ActiveRequest request,
            Choice choice,
            DispatchCause cause,
            Optional<Backend> importFrom) {
        BackendStatus server = choice.server();
        Backend backend = server.backend();
        int number = request.history().attempts() + 1;
        long now = reduction.nowMs();
        long connectDueMs = now + Policies.of(reduction, request, backend).connectTimeoutMs();
        int tokens = request.history().delivered();
        int unread = unreadTokens(request, choice);
        Attempt attempt = Attempt.dispatched(number, server, cause, now, tokens, connectDueMs, unread);
        reduction.put(request.dispatched(attempt));
        PromptChecks.recordDispatch(reduction, request);
        reduction.updateFleet(f -> f.update(
                        backend.id(),
                        s -> s.plusAttempts(1)
                                .plusUnread(unread)
                                .with(s.health().withDispatch(now)))
                .sent(prefixHashes(request), backend.id())
                .withLimitedSend(backend.id(), now));
        reduction.updateLoad(request.route().service(), ServiceLoad::withDispatch);
        CapacityGate.onDispatched(reduction, request);
        reduction.updateCounters(c -> c.plusDispatch(cause));
        if (number == 1) {
            request.call()
                    .completion()
                    .ifPresent(c -> reduction.updateLoad(
                            request.route().service(),
                            l -> l.withNewRequest(ServerSpeeds.requestMs(reduction, request, unread, c.maxTokens()))));
        } else {
            reduction.raise(new ShareEvent.Repeated(request.route().service()));
        }
        reduction.recordDecision(
                request, Decision.Kind.DISPATCHED, Optional.of(backend), cause + " " + choice.reason());
        long leftMs = Math.max(1, request.deadlineMs() - now);
        reduction.emit(new RequestEffect.Dispatch(
                request.id(), number, backend, maxConnectionAgeMs(reduction, request, server), leftMs, importFrom));
        reduction.schedule(connectDueMs, new TimerFired(request.id(), Timer.CONNECT, number));
    }

    /**
     * Returns how recently a pooled connection must have answered to be used, in milliseconds; 0 for a new connection. A
     * fault that silenced one connection may have silenced others: to the same server, and to all servers from this node.
     * A second attempt at the same server needs a new connection, since a server may repeat its refusal of the first one
     * on the others.
     */
    private static long maxConnectionAgeMs(RequestReduction reduction, ActiveRequest request, BackendStatus server) {
        boolean repeated =
                request.history().failedAt().contains(server.backend().id());
        if (repeated || !server.health().isClean()) {
            return 0;
        }
        boolean mayUseOlder = request.idempotent() && request.history().failures() == 0;
        Policy policy = Policies.of(reduction, request, server.backend());
        return mayUseOlder ? policy.connectionMaxAgeMs() : policy.freshConnectionMs();
    }

    private static int unreadTokens(ActiveRequest request, Choice choice) {
        return Math.min(prompt(request).tokens(), choice.unread());
    }

    private static long suspicionRetryMs(RequestReduction reduction, ActiveRequest request) {
        return Math.max(MIN_RETRY_AFTER_MS, Policies.of(reduction, request).suspectMs());
    }

    private static RoutingContext.PromptLengths prompt(ActiveRequest request) {
        return request.call()
                .completion()
                .map(c -> new RoutingContext.PromptLengths(c.promptTokens(), c.prefixTokens()))
                .orElse(RoutingContext.PromptLengths.NONE);
    }

    private static List<Long> prefixHashes(ActiveRequest request) {
        return request.call().completion().map(CallerRequest.Completion::prefix).orElse(List.of());
    }
}
