package org.fuchsiadeck.core.request;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.UnaryOperator;

import io.vavr.collection.Queue;
import io.vavr.control.Option;
import org.fuchsiadeck.core.Effect;
import org.fuchsiadeck.core.Event;
import org.fuchsiadeck.core.EventCode;
import org.fuchsiadeck.core.Step;
import org.fuchsiadeck.core.View;
import org.fuchsiadeck.core.config.Policy;
import org.fuchsiadeck.core.config.PolicyCache;
import org.fuchsiadeck.core.config.Subject;
import org.fuchsiadeck.core.limit.ServiceLoad;
import org.fuchsiadeck.core.model.Backend;
import org.fuchsiadeck.core.model.BackendId;
import org.fuchsiadeck.core.model.RequestId;
import org.fuchsiadeck.core.routing.Fleet;
import org.fuchsiadeck.core.routing.Router;
import org.fuchsiadeck.core.routing.ServerLimit;
import org.fuchsiadeck.core.routing.SplitMix;
import org.fuchsiadeck.core.speed.SpeedState;

/**
 * Collects the next state and the effects while one event is reduced. Each event is reduced with a new object.
 */
final class RequestReduction {
    private static final int MAX_DECISIONS = 64;

    private final View view;
    private final Router router;
    private final List<Effect> effects = new ArrayList<>();
    private final Set<String> readyServices = new LinkedHashSet<>();
    private final Set<BackendId> leavingServers = new LinkedHashSet<>();
    private RequestState state;

    RequestReduction(RequestState state, View view, Router router) {
        this.state = state;
        this.view = view;
        this.router = router;
    }

    Step<RequestState> toStep() {
        return new Step<>(state, effects);
    }

    View view() {
        return view;
    }

    Router router() {
        return router;
    }

    long nowMs() {
        return view.nowMs();
    }

    /** Returns the policy in force for a subject, and caches it in the state. */
    Policy policy(Subject subject) {
        PolicyCache cache = state.policies().validFor(view.config(), view.wallMs());
        Option<Policy> known = cache.find(subject);
        PolicyCache next = known.isDefined() ? cache : cache.withPolicyFor(subject);
        if (next != state.policies()) {
            state = state.with(next);
        }
        return known.getOrElse(() -> next.find(subject).get());
    }

    RequestState state() {
        return state;
    }

    void state(RequestState next) {
        state = next;
    }

    Option<ActiveRequest> find(RequestId id) {
        return state.open().get(id);
    }

    /** Stores a request in place of its earlier version and returns it. */
    ActiveRequest put(ActiveRequest next) {
        state = state.withOpen(state.open().put(next.id(), next));
        return next;
    }

    void remove(RequestId id) {
        state = state.withOpen(state.open().remove(id));
    }

    void updateFleet(UnaryOperator<Fleet> change) {
        Fleet next = change.apply(state.fleet());
        state = state.with(next);
    }

    void updateSpeeds(UnaryOperator<SpeedState> change) {
        SpeedState next = change.apply(state.speeds());
        state = next == state.speeds() ? state : state.with(next);
    }

    void updateLoad(String service, UnaryOperator<ServiceLoad> change) {
        ServiceLoad old = state.loads().getOrElse(service, ServiceLoad.NONE);
        state = state.withLoad(service, change.apply(old));
    }

    void updateCounters(UnaryOperator<RequestCounters> change) {
        state = state.with(change.apply(state.counters()));
    }

    void emit(Effect effect) {
        effects.add(effect);
    }

    void raise(Event event) {
        effects.add(new Effect.Raise(event));
    }

    void schedule(long atMs, Event event) {
        effects.add(new Effect.Schedule(atMs, event));
    }

    void log(EventCode code, Map<String, Object> fields) {
        effects.add(new Effect.Log(code, "", fields));
    }

    void log(EventCode code, String detail) {
        effects.add(new Effect.Log(code, detail));
    }

    void recordDecision(ActiveRequest request, Decision.Kind kind, Optional<Backend> backend, String reason) {
        recordDecision(request, kind, backend, reason, Map.of());
    }

    /** Records a decision on a request, and logs it with the inputs that led to it. */
    void recordDecision(
            ActiveRequest request,
            Decision.Kind kind,
            Optional<Backend> backend,
            String reason,
            Map<String, Object> inputs) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("request", request.id());
        fields.put("route", request.route().name());
        fields.put("team", request.call().team());
        fields.put("left_ms", request.deadlineMs() - nowMs());
        fields.put("attempts", request.history().attempts());
        if (request.history().delivered() > 0) {
            fields.put("delivered", request.history().delivered());
        }
        backend.ifPresent(b -> putServer(fields, b));
        fields.put("config", view.config().revision());
        fields.put("reason", reason);
        fields.putAll(inputs);
        effects.add(new Effect.Log(eventCode(kind), "", fields));
        recordDecision(request.id(), request.route().name(), kind, backend, reason);
    }

    private void putServer(Map<String, Object> fields, Backend backend) {
        fields.put("server", backend.id());
        fields.put("version", backend.version());
        state.fleet()
                .limits()
                .get(backend.id())
                .filter(ServerLimit::active)
                .forEach(l -> fields.put("limit_per_s", l.perSecond()));
        fields.put("list_age_ms", view.work().serverListAgeMs(nowMs()));
        fields.put("busy_elsewhere", view.usage().inFlightElsewhere(nowMs(), backend.id()));
        state.fleet().servers().get(backend.id()).forEach(s -> fields.put("busy_here", s.inFlight()));
    }

    private static EventCode eventCode(Decision.Kind kind) {
        return switch (kind) {
            case DISPATCHED -> EventCode.REQUEST_PLACED;
            case QUEUED -> EventCode.REQUEST_WAITS;
            case REFUSED -> EventCode.REQUEST_REFUSED;
            case UNKNOWN -> EventCode.REQUEST_OUTCOME_UNKNOWN;
            case DUPLICATE -> EventCode.REQUEST_DUPLICATE;
            case ERROR_PASSED_ON -> EventCode.REQUEST_ERROR_PASSED_ON;
            case STAYS -> EventCode.REQUEST_STAYS;
        };
    }

    void recordDecision(RequestId id, String route, Decision.Kind kind, Optional<Backend> backend, String reason) {
        Decision decision = new Decision(nowMs(), id, route, kind, backend.map(Backend::id), reason);
        Queue<Decision> all = state.decisions().enqueue(decision);
        state = state.withDecisions(all.size() > MAX_DECISIONS ? all.tail() : all);
    }

    /** Marks a service whose queue is served at the end of this reduction, because a server may have capacity now. */
    void markServiceReady(String service) {
        readyServices.add(service);
    }

    /** Marks a leaving server whose attempts are reviewed at the end of this reduction. */
    void markLeaving(BackendId id) {
        leavingServers.add(id);
    }

    /** Returns the leaving servers marked since the last call. */
    List<BackendId> takeLeaving() {
        List<BackendId> ids = List.copyOf(leavingServers);
        leavingServers.clear();
        return ids;
    }

    /** Returns the services marked since the last call. */
    List<String> takeReadyServices() {
        List<String> services = List.copyOf(readyServices);
        readyServices.clear();
        return services;
    }

    /** Returns the next 64 pseudo-random bits of this node's seeded sequence. */
    long randomBits() {
        long bits = SplitMix.draw(view.self().seed(), state.draws());
        state = state.withNextDraw();
        return bits;
    }

    /** Lengthens a retry delay by up to its own length, so that callers refused together do not retry together. */
    long withJitter(long delayMs) {
        return delayMs + Math.round(delayMs * SplitMix.toFraction(randomBits()));
    }
}
