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

/**
 * Simulates a data path whose attempts fail at random steps. It records what really ran and asserts that the node's
 * answers to callers agree with it.
 */
final class DataPathModel {
    private final Harness node;
    private final SplittableRandom random;
    private final Map<RequestId, SimulatedRequest> requests = new HashMap<>();
    private final List<RequestEvent> deliveredEvents = new ArrayList<>();

    DataPathModel(Harness node, SplittableRandom random) {
        this.node = node;
        this.random = random;
    }

    /** The actual progress of one request, with its events that the node has not received yet. */
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
        private boolean isConnectionClosed;
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

    /** Performs one random action: a step of an attempt, delivery or redelivery of an event, or a caller's disconnect. */
    void step() {
        List<RequestId> ids = requests.keySet().stream().sorted().toList();
        if (ids.isEmpty()) {
            return;
        }
        RequestId id = ids.get(random.nextInt(ids.size()));
        SimulatedRequest request = requests.get(id);
        int action = random.nextInt(40);
        if (action == 0 && !request.isConnectionClosed) {
            request.isConnectionClosed = true;
            closeConnection(id, request);
        } else if (action == 1 && !deliveredEvents.isEmpty()) {
            apply(node.reduce(deliveredEvents.get(random.nextInt(deliveredEvents.size()))));
        } else if (action < 20) {
            deliverNext(request);
        } else {
            advanceAttempt(id, request);
        }
    }

    /** Reports a close by an event that precedes the pending ones. An urgent one is followed by another in their order. */
    private void closeConnection(RequestId id, SimulatedRequest request) {
        boolean urgent = random.nextBoolean();
        if (urgent) {
            request.pendingEvents.add(new RequestEvent.CallerGone(id));
        }
        List<Effect> effects = node.reduce(new RequestEvent.CallerGone(id, urgent));
        request.isCallerGone = !urgent || node.state.open().get(id).forAll(ActiveRequest::callerGone);
        apply(effects);
    }

    /** Delivers all pending events and advances the time until every deadline has passed. */
    void deliverAll() {
        for (int i = 0; i < 50; i++) {
            requests.values().forEach(request -> {
                while (!request.pendingEvents.isEmpty()) {
                    deliverNext(request);
                }
            });
            advance(5_000);
        }
    }

    void advance(long ms) {
        apply(node.advance(ms));
    }

    void assertAllEnded() {
        requests.forEach((id, request) -> {
            String label = id + " " + request.route.name();
            assertThat(request.releases).as(label + " releases").isEqualTo(1);
            assertThat(request.finalAnswers).as(label + " final answers").isBetween(request.isCallerGone ? 0 : 1, 1);
            assertThat(request.claimsSettled)
                    .as(label + " settled claims")
                    .isEqualTo(request.isClaimDenied ? 0 : request.claimsWanted);
            if (!request.route.idempotent()) {
                assertThat(request.runs)
                        .as(label + " runs of a non-idempotent request")
                        .isLessThanOrEqualTo(1);
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

    private void onDispatch(SimulatedRequest request, RequestEffect.Dispatch dispatch) {
        assertThat(request.releases).as("dispatch after release").isZero();
        assertThat(dispatch.attempt()).isEqualTo(request.attempt + 1);
        if (!request.route.idempotent()) {
            assertThat(request.runs).as("second dispatch of " + dispatch.id()).isZero();
        }
        request.attempt = dispatch.attempt();
        request.isWritten = false;
        request.streamEvents = 0;
    }

    private void onCancel(RequestId id, SimulatedRequest request, int attempt) {
        if (request.endedAttempts.add(attempt)) {
            Step step = request.streamEvents > 0 ? Step.STREAMING : request.isWritten ? Step.AWAITING : Step.CONNECTING;
            fail(id, request, attempt, step, Kind.CLOSED);
        }
    }

    private void onRelay(SimulatedRequest request, RequestEffect.Relay relay) {
        if (request.route != Harness.DRAFT) {
            assertThat(relay.attempt())
                    .as("completed attempt relayed for " + relay.id())
                    .isEqualTo(request.completedAttempt);
            request.finalAnswers++;
        }
    }

    private void onRespond(SimulatedRequest request, RequestEffect.Respond respond) {
        request.finalAnswers++;
        assertThat(request.isCallerGone)
                .as("answer after the caller disconnected")
                .isFalse();
        if (respond.outcome() == Outcome.NOT_RUN) {
            assertThat(request.runs).as(respond.toString()).isZero();
            assertThat(respond.retryAfterMs()).isPositive();
        }
    }

    private void onClaimWanted(RequestId id, SimulatedRequest request) {
        request.claimsWanted++;
        if (random.nextInt(5) > 0) {
            request.pendingEvents.add(new RequestEvent.ClaimGranted(id));
            return;
        }
        RequestEvent.Denial[] denials = RequestEvent.Denial.values();
        request.pendingEvents.add(new RequestEvent.ClaimDenied(id, denials[random.nextInt(denials.length)]));
    }

    private void onClaimSettled(SimulatedRequest request, ClaimEvent.Settled settled) {
        request.claimsSettled++;
        if (settled.settlement() == ClaimEvent.Settlement.NOT_RUN) {
            assertThat(request.runs).isZero();
        }
    }

    private void deliverNext(SimulatedRequest request) {
        if (request.pendingEvents.isEmpty()) {
            return;
        }
        RequestEvent event = request.pendingEvents.remove();
        request.isCallerGone = request.isCallerGone || event instanceof RequestEvent.CallerGone;
        if (event instanceof RequestEvent.ClaimDenied && request.claimsSettled == 0) {
            request.isClaimDenied = true;
        }
        if (event instanceof RequestEvent.AnswerCompleted done) {
            request.completedAttempt = done.attempt();
        }
        deliveredEvents.add(event);
        apply(node.reduce(event));
    }

    /** Advances the request's current attempt by one step, or fails it. */
    private void advanceAttempt(RequestId id, SimulatedRequest request) {
        int attempt = request.attempt;
        if (attempt == 0 || request.endedAttempts.contains(attempt)) {
            return;
        }
        if (random.nextInt(6) == 0) {
            request.endedAttempts.add(attempt);
            failRandomly(id, request, attempt);
        } else if (!request.isWritten) {
            request.isWritten = true;
            request.runs++;
            request.pendingEvents.add(new RequestEvent.Writing(id, attempt));
        } else if (request.route == Harness.DRAFT && request.streamEvents < 3) {
            advanceStream(id, request, attempt);
        } else {
            request.endedAttempts.add(attempt);
            request.pendingEvents.add(
                    new RequestEvent.AnswerCompleted(id, attempt, 200, request.tokens, 1, randomReport()));
        }
    }

    private void advanceStream(RequestId id, SimulatedRequest request, int attempt) {
        if (request.streamEvents++ == 0) {
            request.pendingEvents.add(new RequestEvent.AnswerStarted(id, attempt, randomReport()));
            return;
        }
        request.tokens += 5;
        request.pendingEvents.add(new RequestEvent.Progressed(id, attempt, request.tokens));
    }

    private void failRandomly(RequestId id, SimulatedRequest request, int attempt) {
        if (!request.isWritten) {
            fail(id, request, attempt, Step.CONNECTING, random.nextBoolean() ? Kind.UNREACHABLE : Kind.CLOSED);
        } else if (request.streamEvents > 0) {
            fail(id, request, attempt, Step.STREAMING, random.nextBoolean() ? Kind.BAD_ANSWER : Kind.CLOSED);
        } else if (random.nextBoolean()) {
            request.runs--;
            fail(id, request, attempt, Step.AWAITING, Kind.REFUSED_NOT_RUN);
        } else {
            fail(id, request, attempt, Step.AWAITING, random.nextBoolean() ? Kind.SERVER_ERROR : Kind.TIMEOUT);
        }
    }

    private void fail(RequestId id, SimulatedRequest request, int attempt, Step step, Kind kind) {
        Failure failure = new Failure(step, kind, "127.0.0.1:2", "model");
        request.pendingEvents.add(new RequestEvent.AttemptFailed(id, attempt, failure, randomReport()));
    }

    private Optional<BackendReport> randomReport() {
        int running = random.nextInt(6);
        return Optional.of(new BackendReport(running, random.nextInt(3), 50, random.nextInt(40) == 0));
    }
}
