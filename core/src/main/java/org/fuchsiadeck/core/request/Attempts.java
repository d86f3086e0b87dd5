package org.fuchsiadeck.core.request;

import java.util.Map;
import java.util.function.UnaryOperator;

import org.fuchsiadeck.core.EventCode;
import org.fuchsiadeck.core.limit.ConcurrencyLimit;
import org.fuchsiadeck.core.model.Backend;
import org.fuchsiadeck.core.model.BackendId;
import org.fuchsiadeck.core.model.BackendReport;
import org.fuchsiadeck.core.request.AttemptObserved.Verdict;
import org.fuchsiadeck.core.routing.Health;
import org.fuchsiadeck.core.routing.Health.Evidence;
import org.fuchsiadeck.core.routing.Server;

/**
 * Takes the attempt of a request out of the books when it has ended.
 */
final class Attempts {
    private static final int MAX_QUEUED_PER_SLOT = 1;

    /** The server counts its pause from when it sent the answer, by a clock of its own. */
    private static final long PAUSE_MARGIN_MS = 100;

    private Attempts() {}

    /** Ends the attempt with a whole answer. */
    static void good(Turn turn, Exchange exchange) {
        Attempt attempt = exchange.attempt().get();
        long now = turn.nowMs();
        int max = Policies.of(turn, attempt.backend()).backendConcurrency();
        change(
                turn,
                exchange,
                s -> s.with(s.limit().withAnswer(now, attempt.waitMs(), s.inFlight(), max))
                        .with(Health.GOOD));
        close(turn, exchange, Verdict.GOOD, now - attempt.dispatchedMs());
    }

    /** Ends the attempt because it failed. */
    static void failed(Turn turn, Exchange exchange, Failure failure) {
        Attempt attempt = exchange.attempt().get();
        boolean leaving = leaves(turn, attempt.backend());
        Evidence evidence = leaving || failure.answerAvailable() ? Evidence.NONE : evidence(failure);
        BackendId id = attempt.backend().id();
        boolean clean = unsuspected(turn, id);
        long now = turn.nowMs();
        long suspectMs = Policies.of(turn, attempt.backend()).suspectMs();
        change(turn, exchange, s -> {
            Health health = s.health().failed(evidence, attempt.trial(), now, suspectMs);
            Server next = s.with(limit(s.limit(), failure, now)).with(health);
            return evidence == Evidence.NONE ? next : next.failed(failure.kind() + " " + failure.detail());
        });
        suspected(turn, id, clean || attempt.trial(), failure);
        close(turn, exchange, leaving ? Verdict.NEUTRAL : verdict(failure), -1);
    }

    /** Ends the attempt for a reason that says nothing of the server. */
    static void dropped(Turn turn, Exchange exchange) {
        Attempt attempt = exchange.attempt().get();
        long now = turn.nowMs();
        change(turn, exchange, s -> s.with(s.health().failed(Evidence.NONE, attempt.trial(), now, 0)));
        close(turn, exchange, Verdict.NEUTRAL, -1);
    }

    /** Notes that the server has read the prompt. */
    static void read(Turn turn, Exchange exchange) {
        Attempt attempt = exchange.attempt().get();
        if (attempt.firstByteMs() < 0) {
            change(turn, exchange, s -> s.reading(-attempt.unread()));
        }
    }

    /** Takes a sign of life: the server's connection answers. */
    static void answering(Turn turn, Backend backend) {
        boolean clean = turn.state()
                .fleet()
                .servers()
                .get(backend.id())
                .forAll(s -> s.health().clean());
        if (clean) {
            return;
        }
        turn.fleet(f -> f.with(backend.id(), s -> s.with(Health.GOOD)));
        turn.freed(backend.service());
    }

    /** Takes a server's report of itself. */
    static void reported(Turn turn, Backend backend, BackendReport report) {
        boolean known = leaves(turn, backend);
        long now = turn.nowMs();
        turn.fleet(f -> f.reported(backend.id(), report, now));
        int mostQueued = MAX_QUEUED_PER_SLOT * backend.slots();
        if (report.load().filter(l -> l.queued() > mostQueued).isPresent()) {
            turn.fleet(f -> f.with(backend.id(), s -> s.with(s.limit().withOverload(now))));
        }
        if (!known && report.leaving()) {
            turn.log(EventCode.BACKEND_LEAVING, backend.id() + " by its own report");
            turn.leaving(backend.id());
        }
        if (report.pauseMs() > 0) {
            pause(turn, backend, report.pauseMs());
        }
    }

    private static void pause(Turn turn, Backend backend, long pauseMs) {
        long untilMs = turn.nowMs() + pauseMs + PAUSE_MARGIN_MS;
        turn.fleet(f -> f.with(backend.id(), s -> s.paused(untilMs)));
        turn.schedule(untilMs, new NodeWorkEvent.ServerDue(backend.id()));
        turn.count(Counters::pausedOne);
        turn.log(EventCode.BACKEND_PAUSED, Map.of("server", backend.id(), "pause_ms", pauseMs));
    }

    static boolean leaves(Turn turn, Backend backend) {
        return turn.state().fleet().departures().containsKey(backend.id());
    }

    private static void change(Turn turn, Exchange exchange, UnaryOperator<Server> change) {
        BackendId id = exchange.attempt().get().backend().id();
        turn.fleet(f -> f.with(id, change));
    }

    private static void close(Turn turn, Exchange exchange, Verdict verdict, long tookMs) {
        Attempt attempt = exchange.attempt().get();
        int unread = attempt.firstByteMs() < 0 ? attempt.unread() : 0;
        change(turn, exchange, s -> s.reading(-unread).attempts(-1));
        String service = exchange.route().service();
        turn.load(service, l -> l.withEndedAttempt(tookMs, attempt.perTokenMs()));
        turn.freed(service);
        if (!attempt.written()) {
            return;
        }
        turn.raise(new AttemptObserved(
                exchange.route().name(),
                attempt.backend(),
                verdict,
                attempt.waitMs(),
                attempt.perTokenMs(),
                attempt.load()));
    }

    private static Verdict verdict(Failure failure) {
        return switch (failure.kind()) {
            case BAD_ANSWER -> Verdict.CORRUPT;
            case NO_ROOM -> Verdict.NEUTRAL;
            default -> Verdict.FAILED;
        };
    }

    private static Evidence evidence(Failure failure) {
        return switch (failure.kind()) {
            case UNREACHABLE -> Evidence.SERVER;
            case REFUSED_NOT_RUN, NO_ROOM -> Evidence.NONE;
            default -> Evidence.CONNECTION;
        };
    }

    private static ConcurrencyLimit limit(ConcurrencyLimit limit, Failure failure, long now) {
        boolean overload = failure.kind() == Failure.Kind.REFUSED_NOT_RUN || failure.kind() == Failure.Kind.TIMEOUT;
        return overload ? limit.withOverload(now) : limit;
    }

    private static boolean unsuspected(Turn turn, BackendId id) {
        return turn.state().fleet().servers().get(id).exists(s -> s.health().suspicions() == 0);
    }

    private static void suspected(Turn turn, BackendId id, boolean mayBegin, Failure failure) {
        turn.state()
                .fleet()
                .servers()
                .get(id)
                .filter(s -> mayBegin && s.health().suspected(turn.nowMs()))
                .forEach(s -> {
                    turn.count(Counters::suspectedOne);
                    turn.log(EventCode.BACKEND_SUSPECTED, id + " " + failure.kind() + " " + failure.detail());
                    turn.schedule(s.health().untilMs(), new NodeWorkEvent.ServerDue(id));
                });
    }
}
