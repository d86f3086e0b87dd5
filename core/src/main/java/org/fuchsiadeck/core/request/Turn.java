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
import org.fuchsiadeck.core.config.PolicyTable;
import org.fuchsiadeck.core.config.Subject;
import org.fuchsiadeck.core.limit.ServiceLoad;
import org.fuchsiadeck.core.model.Backend;
import org.fuchsiadeck.core.model.BackendId;
import org.fuchsiadeck.core.model.RequestId;
import org.fuchsiadeck.core.routing.Fleet;
import org.fuchsiadeck.core.routing.Router;
import org.fuchsiadeck.core.routing.SplitMix;

/**
 * The reduction of one event: the state as it changes, and the effects so far. Lives no longer than the event.
 */
final class Turn {
    private static final int MAX_DECISIONS = 64;

    private final View view;
    private final Router router;
    private final List<Effect> effects = new ArrayList<>();
    private final Set<String> freed = new LinkedHashSet<>();
    private final Set<BackendId> leaving = new LinkedHashSet<>();
    private RequestState state;

    Turn(RequestState state, View view, Router router) {
        this.state = state;
        this.view = view;
        this.router = router;
    }

    Step<RequestState> step() {
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

    /** Returns the values in force for a subject. */
    Policy policy(Subject subject) {
        PolicyTable table = state.policies().at(view.config(), view.wallMs());
        Option<Policy> known = table.find(subject);
        PolicyTable next = known.isDefined() ? table : table.with(subject);
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

    Option<Exchange> find(RequestId id) {
        return state.open().get(id);
    }

    /** Keeps a request in its new condition. */
    Exchange keep(Exchange next) {
        state = state.withOpen(state.open().put(next.id(), next));
        return next;
    }

    void forget(RequestId id) {
        state = state.withOpen(state.open().remove(id));
    }

    void fleet(UnaryOperator<Fleet> change) {
        Fleet next = change.apply(state.fleet());
        state = state.with(next);
    }

    void load(String service, UnaryOperator<ServiceLoad> change) {
        ServiceLoad old = state.loads().getOrElse(service, ServiceLoad.NONE);
        state = state.withLoad(service, change.apply(old));
    }

    void count(UnaryOperator<Counters> change) {
        state = state.with(change.apply(state.counters()));
    }

    void effect(Effect effect) {
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

    void decide(Exchange exchange, Decision.Kind kind, Optional<Backend> backend, String reason) {
        decide(exchange, kind, backend, reason, Map.of());
    }

    /** Notes a decision on a request, and logs it with what it was decided by. */
    void decide(
            Exchange exchange,
            Decision.Kind kind,
            Optional<Backend> backend,
            String reason,
            Map<String, Object> inputs) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("request", exchange.id());
        fields.put("route", exchange.route().name());
        fields.put("team", exchange.call().team());
        fields.put("left_ms", exchange.deadlineMs() - nowMs());
        fields.put("attempts", exchange.history().attempts());
        if (exchange.history().delivered() > 0) {
            fields.put("delivered", exchange.history().delivered());
        }
        backend.ifPresent(b -> server(fields, b));
        fields.put("config", view.config().revision());
        fields.put("reason", reason);
        fields.putAll(inputs);
        effects.add(new Effect.Log(code(kind), "", fields));
        decide(exchange.id(), exchange.route().name(), kind, backend, reason);
    }

    private void server(Map<String, Object> fields, Backend backend) {
        fields.put("server", backend.id());
        fields.put("version", backend.version());
        fields.put("busy_elsewhere", view.use().inFlightElsewhere(nowMs(), backend.id()));
        state.fleet().servers().get(backend.id()).forEach(s -> fields.put("busy_here", s.inFlight()));
    }

    private static EventCode code(Decision.Kind kind) {
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

    void decide(RequestId id, String route, Decision.Kind kind, Optional<Backend> backend, String reason) {
        Decision decision = new Decision(nowMs(), id, route, kind, backend.map(Backend::id), reason);
        Queue<Decision> all = state.decisions().enqueue(decision);
        state = state.withDecisions(all.size() > MAX_DECISIONS ? all.tail() : all);
    }

    /** Notes that a request of a service may be dispatched now. */
    void freed(String service) {
        freed.add(service);
    }

    /** Notes that the attempts at a leaving server have to be looked at. */
    void leaving(BackendId id) {
        leaving.add(id);
    }

    /** Returns the leaving servers noted since the last call. */
    List<BackendId> takeLeaving() {
        List<BackendId> ids = List.copyOf(leaving);
        leaving.clear();
        return ids;
    }

    /** Returns the services noted since the last call. */
    List<String> takeFreed() {
        List<String> services = List.copyOf(freed);
        freed.clear();
        return services;
    }

    /** Draws 64 random bits. */
    long draw() {
        long bits = SplitMix.draw(view.self().seed(), state.draws());
        state = state.drawn();
        return bits;
    }

    /** Spreads a time to come back, so that callers refused together do not come back together. */
    long spread(long atLeastMs) {
        return atLeastMs + Math.round(atLeastMs * SplitMix.toFraction(draw()));
    }
}
