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
    private final Map<RequestId, SimulatedRequest> requests = new HashMap<>();
    private final List<RequestEvent> deliveredEvents = new ArrayList<>();

    DataPathModel(Harness node, SplittableRandom random) {
        this.node = node;
        this.random = random;
    }

    /** What is true of one request, and the events of it that the node has not seen yet. */
    private static final class SimulatedRequest {
        private final Route route;
        private final Deque<RequestEvent> pendingEvents = new ArrayDeque<>();
        private final Set<Integer> endedAttempts = new HashSet<>();
        private final Set<Integer> observedAttempts = new HashSet<>();
        private int attempt;
        private boolean isWritten;
        private int streamEvents;
        private int tokens;
        private int runs;
        private int finalAnswers;
        private int releases;
        private int claimsWanted;
        private int claimsSettled;
        private boolean isClaimDenied;
        private boolean isCallerGone;
        private int completedAttempt;

        SimulatedRequest(Route route) {
            this.route = route;
        }
    }

    void arrive(String name, Route route) {
        requests.put(new RequestId(name), new SimulatedRequest(route));
        Optional<String> key = random.nextInt(2) == 0 ? Optional.of("k" + name) : Optional.empty();
        apply(node.arrive(name, route, "t" + random.nextInt(3), key));
    }

    /** Lets one thing happen: progress of an attempt, a delivery, a caller's leaving or a repeated event. */
    void step() {
        List<RequestId> ids = requests.keySet().stream().sorted().toList();
        if (ids.isEmpty()) {
            return;
        }
        RequestId id = ids.get(random.nextInt(ids.size()));
        SimulatedRequest caller = requests.get(id);
        int what = random.nextInt(40);
        if (what == 0 && !caller.isCallerGone) {
            caller.isCallerGone = true;
            apply(node.reduce(new RequestEvent.CallerGone(id)));
        } else if (what == 1 && !deliveredEvents.isEmpty()) {
            apply(node.reduce(deliveredEvents.get(random.nextInt(deliveredEvents.size()))));
        } else if (what < 20) {
            deliverNext(caller);
        } else {
            advanceAttempt(id, caller);
        }
    }

    /** Delivers everything that is pending. */
    void deliverAll() {
        for (int i = 0; i < 50; i++) {
            requests.values().forEach(c -> {
                while (!c.pendingEvents.isEmpty()) {
                    deliverNext(c);
                }
            });
            advance(5_000);
        }
    }

    void advance(long ms) {
        apply(node.advance(ms));
    }

    void assertAllEnded() {
        requests.forEach((id, c) -> {
            String what = id + " " + c.route.name();
            assertThat(c.releases).as(what + " released").isEqualTo(1);
            assertThat(c.finalAnswers).as(what + " final answers").isBetween(c.isCallerGone ? 0 : 1, 1);
            assertThat(c.claimsSettled).as(what + " settled").isEqualTo(c.isClaimDenied ? 0 : c.claimsWanted);
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

    void apply(List<Effect> effects) {
        effects.forEach(this::apply);
    }

    private void apply(Effect effect) {
        if (effect instanceof RequestEffect.Dispatch d) {
            onDispatch(requests.get(d.id()), d);
        } else if (effect instanceof RequestEffect.Cancel c) {
            onCancel(c.id(), requests.get(c.id()), c.attempt());
        } else if (effect instanceof RequestEffect.Relay r) {
            onRelay(requests.get(r.id()), r);
        } else if (effect instanceof RequestEffect.EndStream e) {
            requests.get(e.id()).finalAnswers++;
        } else if (effect instanceof RequestEffect.Respond r) {
            onRespond(requests.get(r.id()), r);
        } else if (effect instanceof RequestEffect.Release r) {
            requests.get(r.id()).releases++;
        } else if (effect instanceof Effect.Raise raise && raise.event() instanceof ClaimEvent.Wanted w) {
            onClaimWanted(w.id(), requests.get(w.id()));
        } else if (effect instanceof Effect.Raise raise && raise.event() instanceof ClaimEvent.Settled s) {
            onClaimSettled(requests.get(s.id()), s);
        }
    }

    private void onDispatch(SimulatedRequest caller, RequestEffect.Dispatch dispatch) {
        assertThat(caller.releases).as("dispatch after release").isZero();
        assertThat(dispatch.attempt()).isEqualTo(caller.attempt + 1);
        if (!caller.route.idempotent()) {
            assertThat(caller.runs).as("second dispatch of " + dispatch.id()).isZero();
        }
        caller.attempt = dispatch.attempt();
        caller.isWritten = false;
        caller.streamEvents = 0;
    }

    private void onCancel(RequestId id, SimulatedRequest caller, int attempt) {
        if (caller.endedAttempts.add(attempt)) {
            Step step = caller.streamEvents > 0 ? Step.STREAMING : caller.isWritten ? Step.AWAITING : Step.CONNECTING;
            failAttempt(id, caller, attempt, step, Kind.CLOSED);
        }
    }

    private void onRelay(SimulatedRequest caller, RequestEffect.Relay relay) {
        if (caller.route != Harness.DRAFT) {
            assertThat(relay.attempt()).as("answer of " + relay.id()).isEqualTo(caller.completedAttempt);
            caller.finalAnswers++;
        }
    }

    private void onRespond(SimulatedRequest caller, RequestEffect.Respond respond) {
        caller.finalAnswers++;
        assertThat(caller.isCallerGone).as("answer after the caller left").isFalse();
        if (respond.outcome() == Outcome.NOT_RUN) {
            assertThat(caller.runs).as(respond.toString()).isZero();
            assertThat(respond.retryAfterMs()).isPositive();
        }
    }

    private void onClaimWanted(RequestId id, SimulatedRequest caller) {
        caller.claimsWanted++;
        if (random.nextInt(5) > 0) {
            caller.pendingEvents.add(new RequestEvent.ClaimGranted(id));
            return;
        }
        RequestEvent.Denial[] all = RequestEvent.Denial.values();
        caller.pendingEvents.add(new RequestEvent.ClaimDenied(id, all[random.nextInt(all.length)]));
    }

    private void onClaimSettled(SimulatedRequest caller, ClaimEvent.Settled settled) {
        caller.claimsSettled++;
        if (settled.settlement() == ClaimEvent.Settlement.NOT_RUN) {
            assertThat(caller.runs).isZero();
        }
    }

    private void deliverNext(SimulatedRequest caller) {
        if (caller.pendingEvents.isEmpty()) {
            return;
        }
        RequestEvent event = caller.pendingEvents.remove();
        if (event instanceof RequestEvent.ClaimDenied && caller.claimsSettled == 0) {
            caller.isClaimDenied = true;
        }
        if (event instanceof RequestEvent.AnswerCompleted done) {
            caller.completedAttempt = done.attempt();
        }
        deliveredEvents.add(event);
        apply(node.reduce(event));
    }

    /** Takes the attempt that the data path has at hand one step further, or fails it. */
    private void advanceAttempt(RequestId id, SimulatedRequest caller) {
        int attempt = caller.attempt;
        if (attempt == 0 || caller.endedAttempts.contains(attempt)) {
            return;
        }
        if (random.nextInt(6) == 0) {
            caller.endedAttempts.add(attempt);
            failRandomly(id, caller, attempt);
        } else if (!caller.isWritten) {
            caller.isWritten = true;
            caller.runs++;
            caller.pendingEvents.add(new RequestEvent.Writing(id, attempt));
        } else if (caller.route == Harness.DRAFT && caller.streamEvents < 3) {
            advanceStream(id, caller, attempt);
        } else {
            caller.endedAttempts.add(attempt);
            caller.pendingEvents.add(
                    new RequestEvent.AnswerCompleted(id, attempt, 200, caller.tokens, 1, randomReport()));
        }
    }

    private void advanceStream(RequestId id, SimulatedRequest caller, int attempt) {
        if (caller.streamEvents++ == 0) {
            caller.pendingEvents.add(new RequestEvent.AnswerStarted(id, attempt, randomReport()));
            return;
        }
        caller.tokens += 5;
        caller.pendingEvents.add(new RequestEvent.Progressed(id, attempt, caller.tokens));
    }

    private void failRandomly(RequestId id, SimulatedRequest caller, int attempt) {
        if (!caller.isWritten) {
            failAttempt(id, caller, attempt, Step.CONNECTING, random.nextBoolean() ? Kind.UNREACHABLE : Kind.CLOSED);
        } else if (caller.streamEvents > 0) {
            failAttempt(id, caller, attempt, Step.STREAMING, random.nextBoolean() ? Kind.BAD_ANSWER : Kind.CLOSED);
        } else if (random.nextBoolean()) {
            caller.runs--;
            failAttempt(id, caller, attempt, Step.AWAITING, Kind.REFUSED_NOT_RUN);
        } else {
            failAttempt(id, caller, attempt, Step.AWAITING, random.nextBoolean() ? Kind.SERVER_ERROR : Kind.TIMEOUT);
        }
    }

    private void failAttempt(RequestId id, SimulatedRequest caller, int attempt, Step step, Kind kind) {
        Failure failure = new Failure(step, kind, "127.0.0.1:2", "model");
        caller.pendingEvents.add(new RequestEvent.AttemptFailed(id, attempt, failure, randomReport()));
    }

    private Optional<BackendReport> randomReport() {
        int running = random.nextInt(6);
        return Optional.of(new BackendReport(running, random.nextInt(3), 50, random.nextInt(40) == 0));
    }
}
