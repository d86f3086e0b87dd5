package org.fuchsiadeck.core.request;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.function.UnaryOperator;

import org.fuchsiadeck.core.EventCode;
import org.fuchsiadeck.core.limit.ConcurrencyLimit;
import org.fuchsiadeck.core.model.Backend;
import org.fuchsiadeck.core.model.BackendId;
import org.fuchsiadeck.core.model.BackendReport;
import org.fuchsiadeck.core.request.AttemptObserved.Verdict;
import org.fuchsiadeck.core.routing.BackendStatus;
import org.fuchsiadeck.core.routing.Health;
import org.fuchsiadeck.core.routing.Health.Evidence;

/**
 * Updates a backend server's health, limits and load when an attempt there ends or the server reports about itself.
 */
final class AttemptAccounting {
    /** A server that reports more queued requests per slot is treated as overloaded. */
    private static final int MAX_QUEUED_PER_SLOT = 1;

    /** Added to a pause, since the server measures it by its own clock, from the time at which it sent the answer. */
    private static final long PAUSE_MARGIN_MS = 100;

    private AttemptAccounting() {}

    /** Records the end of an attempt with a complete answer. */
    static void recordSuccess(RequestReduction reduction, ActiveRequest request) {
        Attempt attempt = request.attempt().get();
        long now = reduction.nowMs();
        int max = Policies.of(reduction, attempt.backend()).backendConcurrency();
        updateServer(
                reduction,
                request,
                s -> s.with(s.limit().withAnswer(now, attempt.firstByteLatencyMs(), s.inFlight(), max))
                        .with(Health.GOOD));
        CapacityGate.onCompleted(reduction, request);
        closeAttempt(reduction, request, Verdict.GOOD, now - attempt.dispatchedMs());
    }

    /** Records the end of an attempt that failed. */
    static void recordFailure(RequestReduction reduction, ActiveRequest request, Failure failure) {
        Attempt attempt = request.attempt().get();
        boolean leaving = isLeaving(reduction, attempt.backend());
        Evidence evidence = leaving || failure.answerAvailable() ? Evidence.NONE : evidenceOf(failure);
        BackendId id = attempt.backend().id();
        boolean wasUnsuspected = isUnsuspected(reduction, id);
        long now = reduction.nowMs();
        long suspectMs = Policies.of(reduction, attempt.backend()).suspectMs();
        updateServer(reduction, request, s -> {
            Health health = s.health().withFailure(evidence, attempt.trial(), now, suspectMs);
            BackendStatus next = s.with(limitAfter(s.limit(), failure, now)).with(health);
            return evidence == Evidence.NONE ? next : next.withFailure(failure.kind() + " " + failure.detail());
        });
        recordSuspicion(reduction, id, wasUnsuspected || attempt.trial(), failure);
        if (failure.kind() == Failure.Kind.CLOSED && attempt.written()) {
            logLost(reduction, request, failure);
        }
        PromptChecks.recordFailure(reduction, request, failure);
        if (failure.kind() == Failure.Kind.REFUSED_NOT_RUN) {
            CapacityGate.onRefused(reduction, request);
        }
        closeAttempt(reduction, request, leaving ? Verdict.NEUTRAL : verdictOf(failure), -1);
    }

    private static void logLost(RequestReduction reduction, ActiveRequest request, Failure failure) {
        Attempt attempt = request.attempt().get();
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("request", request.id());
        fields.put("route", request.route().name());
        fields.put("team", request.call().team());
        fields.put("server", attempt.backend().id());
        fields.put("attempt", attempt.number());
        fields.put("cause", attempt.cause());
        fields.put("step", failure.step());
        fields.put("tokens", attempt.tokens() - attempt.startTokens());
        fields.put("took_ms", reduction.nowMs() - attempt.dispatchedMs());
        fields.put("parts", request.parts());
        reduction.log(EventCode.ATTEMPT_LOST, fields);
    }

    /** Records the end of an attempt for a reason that does not concern the server. */
    static void recordAbandoned(RequestReduction reduction, ActiveRequest request) {
        Attempt attempt = request.attempt().get();
        long now = reduction.nowMs();
        updateServer(reduction, request, s -> s.with(s.health().withFailure(Evidence.NONE, attempt.trial(), now, 0)));
        closeAttempt(reduction, request, Verdict.NEUTRAL, -1);
    }

    /** Records that the server has processed the prompt. */
    static void recordPromptRead(RequestReduction reduction, ActiveRequest request) {
        Attempt attempt = request.attempt().get();
        if (attempt.firstByteMs() < 0) {
            updateServer(reduction, request, s -> s.plusUnread(-attempt.unread()));
        }
    }

    /** Clears the failures counted against a server when it begins an answer. */
    static void clearSuspicion(RequestReduction reduction, Backend backend) {
        boolean clean = reduction
                .state()
                .fleet()
                .servers()
                .get(backend.id())
                .forAll(s -> s.health().isClean());
        if (clean) {
            return;
        }
        reduction.updateFleet(f -> f.update(backend.id(), s -> s.with(Health.GOOD)));
        reduction.markServiceReady(backend.service());
    }

    /** Applies what an answer says of the server: its load, departure, pause and limit. */
    static void applyReport(
            RequestReduction reduction, Attempt attempt, Optional<BackendReport> report, boolean success) {
        report.ifPresent(r -> applyReport(reduction, attempt.backend(), r));
        OptionalDouble limit = report.map(BackendReport::limitPerSecond).orElse(OptionalDouble.empty());
        ServerLimits.onAnswer(reduction, attempt, limit, success);
    }

    private static void applyReport(RequestReduction reduction, Backend backend, BackendReport report) {
        boolean knownToLeave = isLeaving(reduction, backend);
        long now = reduction.nowMs();
        reduction.updateFleet(f -> f.withReport(backend.id(), report, now));
        ServerSpeeds.applyReport(reduction, backend, report);
        int maxQueued = MAX_QUEUED_PER_SLOT * backend.slots();
        if (report.load().filter(l -> l.queued() > maxQueued).isPresent()) {
            reduction.updateFleet(
                    f -> f.update(backend.id(), s -> s.with(s.limit().withOverload(now))));
        }
        if (!knownToLeave && report.leaving()) {
            reduction.log(EventCode.BACKEND_LEAVING, backend.id() + " by its own report");
            reduction.markLeaving(backend.id());
        }
        if (report.pauseMs() > 0) {
            pauseServer(reduction, backend, report.pauseMs());
        }
    }

    private static void pauseServer(RequestReduction reduction, Backend backend, long pauseMs) {
        long untilMs = reduction.nowMs() + pauseMs + PAUSE_MARGIN_MS;
        reduction.updateFleet(f -> f.update(backend.id(), s -> s.withPause(untilMs)));
        reduction.schedule(untilMs, new RequestReducerEvent.ServerDue(backend.id()));
        reduction.updateCounters(RequestCounters::plusPause);
        reduction.log(EventCode.BACKEND_PAUSED, Map.of("server", backend.id(), "pause_ms", pauseMs));
    }

    static boolean isLeaving(RequestReduction reduction, Backend backend) {
        return reduction.state().fleet().departures().containsKey(backend.id());
    }

    private static void updateServer(
            RequestReduction reduction, ActiveRequest request, UnaryOperator<BackendStatus> update) {
        BackendId id = request.attempt().get().backend().id();
        reduction.updateFleet(f -> f.update(id, update));
    }

    private static void closeAttempt(RequestReduction reduction, ActiveRequest request, Verdict verdict, long tookMs) {
        Attempt attempt = request.attempt().get();
        int unread = attempt.firstByteMs() < 0 ? attempt.unread() : 0;
        updateServer(reduction, request, s -> s.plusUnread(-unread).plusAttempts(-1));
        String service = request.route().service();
        reduction.updateLoad(service, l -> l.withEndedAttempt(tookMs, attempt.perTokenMs()));
        reduction.markServiceReady(service);
        if (!attempt.written()) {
            return;
        }
        reduction.raise(new AttemptObserved(
                request.route().name(),
                attempt.backend(),
                verdict,
                attempt.firstByteLatencyMs(),
                attempt.perTokenMs(),
                attempt.load()));
    }

    private static Verdict verdictOf(Failure failure) {
        return switch (failure.kind()) {
            case BAD_ANSWER -> Verdict.CORRUPT;
            case NO_ROOM, NODE_BEHIND -> Verdict.NEUTRAL;
            default -> Verdict.FAILED;
        };
    }

    private static Evidence evidenceOf(Failure failure) {
        return switch (failure.kind()) {
            case UNREACHABLE -> Evidence.SERVER;
            case REFUSED_NOT_RUN, NO_ROOM, NODE_BEHIND -> Evidence.NONE;
            default -> Evidence.CONNECTION;
        };
    }

    private static ConcurrencyLimit limitAfter(ConcurrencyLimit limit, Failure failure, long now) {
        boolean overload = failure.kind() == Failure.Kind.REFUSED_NOT_RUN || failure.kind() == Failure.Kind.TIMEOUT;
        return overload ? limit.withOverload(now) : limit;
    }

    private static boolean isUnsuspected(RequestReduction reduction, BackendId id) {
        return reduction
                .state()
                .fleet()
                .servers()
                .get(id)
                .exists(s -> s.health().suspicions() == 0);
    }

    private static void recordSuspicion(RequestReduction reduction, BackendId id, boolean mayStart, Failure failure) {
        reduction
                .state()
                .fleet()
                .servers()
                .get(id)
                .filter(s -> mayStart && s.health().isSuspected(reduction.nowMs()))
                .forEach(s -> {
                    reduction.updateCounters(RequestCounters::plusSuspicion);
                    reduction.log(EventCode.BACKEND_SUSPECTED, id + " " + failure.kind() + " " + failure.detail());
                    reduction.schedule(s.health().untilMs(), new RequestReducerEvent.ServerDue(id));
                });
    }
}
