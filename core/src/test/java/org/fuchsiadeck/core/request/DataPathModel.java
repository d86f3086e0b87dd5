package org.fuchsiadeck.core.request;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;

import org.fuchsiadeck.core.Effect;
import org.fuchsiadeck.core.claim.ClaimEvent;
import org.fuchsiadeck.core.config.Route;
import org.fuchsiadeck.core.model.BackendReport;
import org.fuchsiadeck.core.model.RequestId;
import org.fuchsiadeck.core.request.Failure.Kind;
import org.fuchsiadeck.core.request.Failure.Step;
import org.fuchsiadeck.core.request.RequestEffect.Outcome;

import static org.assertj.core.api.Assertions.assertThat;

/** A data path that fails at random steps, keeps the truth of what ran, and checks what callers are told. */
final class DataPathModel {
    private final Harness node;
    private final SplittableRandom random;
    private final Map<RequestId, Caller> callers = new HashMap<>();
    private final List<RequestEvent> delivered = new ArrayList<>();

    DataPathModel(Harness node, SplittableRandom random) {
        this.node = node;
        this.random = random;
    }

    /** What is true of one request, and the events of it that the node has not seen yet. */
    private static final class Caller {
        private final Route route;
        private final Deque<RequestEvent> pending = new ArrayDeque<>();
        private final Set<Integer> ended = new HashSet<>();
        private final Set<Integer> observed = new HashSet<>();
        private int attempt;
        private boolean written;
        private int answering;
        private int tokens;
        private int runs;
        private int finals;
        private int releases;
        private int wanted;
        private int settled;
        private boolean denied;
        private boolean gone;
        private int completed;

        Caller(Route route) {
            this.route = route;
        }
    }

    void arrive(String name, Route route) {
        callers.put(new RequestId(name), new Caller(route));
        Optional<String> key = random.nextInt(2) == 0 ? Optional.of("k" + name) : Optional.empty();
        run(node.arrive(name, route, "t" + random.nextInt(3), key));
    }

    /** Lets one thing happen: progress of an attempt, a delivery, a caller's leaving or a repeated event. */
    void step() {
        List<RequestId> ids = callers.keySet().stream().sorted().toList();
        if (ids.isEmpty()) {
            return;
        }
        RequestId id = ids.get(random.nextInt(ids.size()));
        Caller caller = callers.get(id);
        int what = random.nextInt(40);
        if (what == 0 && !caller.gone) {
            caller.gone = true;
            run(node.take(new RequestEvent.CallerGone(id)));
        } else if (what == 1 && !delivered.isEmpty()) {
            run(node.take(delivered.get(random.nextInt(delivered.size()))));
        } else if (what < 20) {
            deliver(caller);
        } else {
            work(id, caller);
        }
    }

    /** Delivers everything that is pending. */
    void settle() {
        for (int i = 0; i < 50; i++) {
            callers.values().forEach(c -> {
                while (!c.pending.isEmpty()) {
                    deliver(c);
                }
            });
            advance(5_000);
        }
    }

    void advance(long ms) {
        run(node.advance(ms));
    }

    void check() {
        callers.forEach((id, c) -> {
            String what = id + " " + c.route.name();
            assertThat(c.releases).as(what + " released").isEqualTo(1);
            assertThat(c.finals).as(what + " final answers").isBetween(c.gone ? 0 : 1, 1);
            assertThat(c.settled).as(what + " settled").isEqualTo(c.denied ? 0 : c.wanted);
            if (!c.route.idempotent()) {
                assertThat(c.runs).as(what + " runs").isLessThanOrEqualTo(1);
            }
        });
        assertThat(node.state.open().isEmpty()).isTrue();
        assertThat(node.state.queues().isEmpty()).isTrue();
        assertThat(node.state.fleet().servers().values().forAll(s -> s.inFlight() == 0))
                .isTrue();
        assertThat(node.state.loads().values().forAll(l -> l.inFlight() == 0)).isTrue();
    }

    void run(List<Effect> effects) {
        effects.forEach(this::run);
    }

    private void run(Effect effect) {
        if (effect instanceof RequestEffect.Dispatch d) {
            dispatched(callers.get(d.id()), d);
        } else if (effect instanceof RequestEffect.Cancel c) {
            cancelled(c.id(), callers.get(c.id()), c.attempt());
        } else if (effect instanceof RequestEffect.Relay r) {
            relayed(callers.get(r.id()), r);
        } else if (effect instanceof RequestEffect.EndStream e) {
            callers.get(e.id()).finals++;
        } else if (effect instanceof RequestEffect.Respond r) {
            responded(callers.get(r.id()), r);
        } else if (effect instanceof RequestEffect.Release r) {
            callers.get(r.id()).releases++;
        } else if (effect instanceof Effect.Raise raise && raise.event() instanceof ClaimEvent.Wanted w) {
            claimed(w.id(), callers.get(w.id()));
        } else if (effect instanceof Effect.Raise raise && raise.event() instanceof ClaimEvent.Settled s) {
            settled(callers.get(s.id()), s);
        }
    }

    private void dispatched(Caller caller, RequestEffect.Dispatch dispatch) {
        assertThat(caller.releases).as("dispatch after release").isZero();
        assertThat(dispatch.attempt()).isEqualTo(caller.attempt + 1);
        if (!caller.route.idempotent()) {
            assertThat(caller.runs).as("second dispatch of " + dispatch.id()).isZero();
        }
        caller.attempt = dispatch.attempt();
        caller.written = false;
        caller.answering = 0;
    }

    private void cancelled(RequestId id, Caller caller, int attempt) {
        if (caller.ended.add(attempt)) {
            Step step = caller.answering > 0 ? Step.STREAMING : caller.written ? Step.AWAITING : Step.CONNECTING;
            fail(id, caller, attempt, step, Kind.CLOSED);
        }
    }

    private void relayed(Caller caller, RequestEffect.Relay relay) {
        if (caller.route != Harness.DRAFT) {
            assertThat(relay.attempt()).as("answer of " + relay.id()).isEqualTo(caller.completed);
            caller.finals++;
        }
    }

    private void responded(Caller caller, RequestEffect.Respond respond) {
        caller.finals++;
        assertThat(caller.gone).as("answer after the caller left").isFalse();
        if (respond.outcome() == Outcome.NOT_RUN) {
            assertThat(caller.runs).as(respond.toString()).isZero();
            assertThat(respond.retryAfterMs()).isPositive();
        }
    }

    private void claimed(RequestId id, Caller caller) {
        caller.wanted++;
        if (random.nextInt(5) > 0) {
            caller.pending.add(new RequestEvent.ClaimGranted(id));
            return;
        }
        RequestEvent.Denial[] all = RequestEvent.Denial.values();
        caller.pending.add(new RequestEvent.ClaimDenied(id, all[random.nextInt(all.length)]));
    }

    private void settled(Caller caller, ClaimEvent.Settled settled) {
        caller.settled++;
        if (settled.settlement() == ClaimEvent.Settlement.NOT_RUN) {
            assertThat(caller.runs).isZero();
        }
    }

    private void deliver(Caller caller) {
        if (caller.pending.isEmpty()) {
            return;
        }
        RequestEvent event = caller.pending.remove();
        if (event instanceof RequestEvent.ClaimDenied && caller.settled == 0) {
            caller.denied = true;
        }
        if (event instanceof RequestEvent.AnswerCompleted done) {
            caller.completed = done.attempt();
        }
        delivered.add(event);
        run(node.take(event));
    }

    /** Takes the attempt that the data path has at hand one step further, or fails it. */
    private void work(RequestId id, Caller caller) {
        int attempt = caller.attempt;
        if (attempt == 0 || caller.ended.contains(attempt)) {
            return;
        }
        if (random.nextInt(6) == 0) {
            caller.ended.add(attempt);
            fault(id, caller, attempt);
        } else if (!caller.written) {
            caller.written = true;
            caller.runs++;
            caller.pending.add(new RequestEvent.Writing(id, attempt));
        } else if (caller.route == Harness.DRAFT && caller.answering < 3) {
            stream(id, caller, attempt);
        } else {
            caller.ended.add(attempt);
            caller.pending.add(new RequestEvent.AnswerCompleted(id, attempt, 200, caller.tokens, 1, report()));
        }
    }

    private void stream(RequestId id, Caller caller, int attempt) {
        if (caller.answering++ == 0) {
            caller.pending.add(new RequestEvent.AnswerStarted(id, attempt, report()));
            return;
        }
        caller.tokens += 5;
        caller.pending.add(new RequestEvent.Progressed(id, attempt, caller.tokens));
    }

    private void fault(RequestId id, Caller caller, int attempt) {
        if (!caller.written) {
            fail(id, caller, attempt, Step.CONNECTING, random.nextBoolean() ? Kind.UNREACHABLE : Kind.CLOSED);
        } else if (caller.answering > 0) {
            fail(id, caller, attempt, Step.STREAMING, random.nextBoolean() ? Kind.BAD_ANSWER : Kind.CLOSED);
        } else if (random.nextBoolean()) {
            caller.runs--;
            fail(id, caller, attempt, Step.AWAITING, Kind.REFUSED_NOT_RUN);
        } else {
            fail(id, caller, attempt, Step.AWAITING, random.nextBoolean() ? Kind.SERVER_ERROR : Kind.TIMEOUT);
        }
    }

    private void fail(RequestId id, Caller caller, int attempt, Step step, Kind kind) {
        Failure failure = new Failure(step, kind, "127.0.0.1:2", "model");
        caller.pending.add(new RequestEvent.AttemptFailed(id, attempt, failure, report()));
    }

    private Optional<BackendReport> report() {
        int running = random.nextInt(6);
        return Optional.of(new BackendReport(running, random.nextInt(3), 50, random.nextInt(40) == 0));
    }
}
