package org.fuchsiadeck.core.request;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.Set;
import java.util.stream.IntStream;

import org.fuchsiadeck.core.Effect;
import org.fuchsiadeck.core.Event;
import org.fuchsiadeck.core.Identity;
import org.fuchsiadeck.core.Step;
import org.fuchsiadeck.core.View;
import org.fuchsiadeck.core.config.Configuration;
import org.fuchsiadeck.core.config.ExceptionRule;
import org.fuchsiadeck.core.config.Policy;
import org.fuchsiadeck.core.config.Route;
import org.fuchsiadeck.core.config.RouteOptions;
import org.fuchsiadeck.core.config.Team;
import org.fuchsiadeck.core.model.Address;
import org.fuchsiadeck.core.model.Backend;
import org.fuchsiadeck.core.model.BackendId;
import org.fuchsiadeck.core.model.NodeId;
import org.fuchsiadeck.core.model.Peers;
import org.fuchsiadeck.core.model.RequestId;
import org.fuchsiadeck.core.model.TeamId;
import org.fuchsiadeck.core.model.VersionShares;
import org.fuchsiadeck.core.model.Zone;
import org.fuchsiadeck.core.platform.PlatformEvent;
import org.fuchsiadeck.core.routing.BackendStatus;

/** Runs the request reducer of one entry node in virtual time and records its effects. */
final class Harness {
    static final Route MEAL = new Route(
            "meals",
            "registers",
            Backend.Kind.APPLICATION,
            "POST",
            "/meals",
            false,
            10_000,
            1_000,
            5,
            RouteOptions.NONE);
    static final Route STATUS = new Route(
            "status",
            "registers",
            Backend.Kind.APPLICATION,
            "GET",
            "/status",
            true,
            10_000,
            1_000,
            5,
            RouteOptions.NONE);
    static final Route DRAFT = new Route(
            "draft", "assistant", Backend.Kind.ENGINE, "POST", "/draft", true, 60_000, 100_000, 5, RouteOptions.NONE);

    final List<Effect> effects = new ArrayList<>();
    final RequestReducer reducer;
    Policy policy = Policy.DEFAULT;
    VersionShares shares = VersionShares.NONE;
    List<Team> teams = List.of();
    List<Route> routes = List.of(MEAL, STATUS, DRAFT);
    List<ExceptionRule> exceptions = List.of();
    long wallMs = 1_000;
    private Configuration config = Configuration.NONE;
    RequestState state = RequestState.initial();
    long nowMs = 1_000;

    Harness() {
        this(new RequestReducer());
    }

    Harness(RequestReducer reducer) {
        this.reducer = reducer;
    }

    /** Reduces an event and all events that it raises; returns the effects of all of them. */
    List<Effect> reduce(Event first) {
        Queue<Event> events = new ArrayDeque<>(List.of(first));
        List<Effect> result = new ArrayList<>();
        while (!events.isEmpty()) {
            Step<RequestState> step = reducer.reduce(state, view(), events.remove());
            state = step.state();
            for (Effect effect : step.effects()) {
                result.add(effect);
                if (effect instanceof Effect.Raise raise) {
                    events.add(raise.event());
                }
            }
        }
        effects.addAll(result);
        return result;
    }

    Peers peers = Peers.NONE;

    View view() {
        Identity self = new Identity(new NodeId("n1"), new Zone("howrah"), new Address("127.0.0.1", 1), 42);
        Configuration current = new Configuration(1, policy, exceptions, routes, teams);
        config = current.equals(config) ? config : current;
        return new View(self, nowMs, wallMs, config, shares, peers);
    }

    /** Advances the virtual time and fires the timers that fall due, in order; returns their effects. */
    List<Effect> advance(long ms) {
        long endMs = nowMs + ms;
        List<Effect> result = new ArrayList<>();
        while (true) {
            Optional<Effect.Schedule> next = effects.stream()
                    .filter(e -> e instanceof Effect.Schedule s && s.atMs() <= endMs)
                    .map(Effect.Schedule.class::cast)
                    .min((a, b) -> Long.compare(a.atMs(), b.atMs()));
            if (next.isEmpty()) {
                nowMs = endMs;
                return result;
            }
            effects.remove(next.get());
            nowMs = Math.max(nowMs, next.get().atMs());
            result.addAll(reduce(next.get().event()));
        }
    }

    void listBackends(Backend... backends) {
        reduce(new PlatformEvent.Listed(List.of(backends), List.of()));
    }

    List<Effect> arrive(String id, Route route) {
        return arrive(id, route, "t", Optional.empty());
    }

    List<Effect> arrive(String id, Route route, String team, Optional<String> key) {
        boolean engine = route.kind() == Backend.Kind.ENGINE;
        Optional<CallerRequest.Completion> completion = engine
                ? Optional.of(new CallerRequest.Completion("m", Optional.empty(), List.of(1L, 2L), 300, 100))
                : Optional.empty();
        CallerRequest request =
                new CallerRequest(route.method(), route.path(), new TeamId(team), key, 10, engine, completion);
        return reduce(new RequestEvent.Arrived(new RequestId(id), request));
    }

    List<Effect> startWriting(String id, int attempt) {
        return reduce(new RequestEvent.Writing(new RequestId(id), attempt));
    }

    List<Effect> startAnswer(String id, int attempt) {
        return reduce(new RequestEvent.AnswerStarted(new RequestId(id), attempt, Optional.empty()));
    }

    List<Effect> reportProgress(String id, int attempt, int tokens) {
        return reduce(new RequestEvent.Progressed(new RequestId(id), attempt, tokens));
    }

    List<Effect> completeAnswer(String id, int attempt) {
        return reduce(new RequestEvent.AnswerCompleted(new RequestId(id), attempt, 200, 0, 0, Optional.empty()));
    }

    List<Effect> failAttempt(String id, int attempt, Failure.Step step, Failure.Kind kind) {
        Failure failure = new Failure(step, kind, "127.0.0.1:2", "seen");
        return reduce(new RequestEvent.AttemptFailed(new RequestId(id), attempt, failure, Optional.empty()));
    }

    BackendStatus backendStatus(String id) {
        return state.fleet().servers().get(new BackendId(id)).get();
    }

    static Backend app(String id) {
        return backend(id, "registers", Backend.Kind.APPLICATION, "v1", 4, false);
    }

    static Backend engine(String id, String version) {
        return backend(id, "assistant", Backend.Kind.ENGINE, version, 4, false);
    }

    static Backend app(String id, String zone) {
        Backend base = app(id);
        return new Backend(
                base.id(),
                base.address(),
                new Zone(zone),
                base.kind(),
                base.service(),
                base.version(),
                base.models(),
                base.adapters(),
                base.roles(),
                base.slots(),
                base.pricePerHour(),
                base.reclaimable(),
                base.leaving());
    }

    static Backend[] apps(int count) {
        return IntStream.range(0, count).mapToObj(i -> app("a" + i)).toArray(Backend[]::new);
    }

    static Backend backend(String id, String service, Backend.Kind kind, String version, int slots, boolean leaving) {
        Set<String> models = kind == Backend.Kind.ENGINE ? Set.of("m") : Set.of();
        return new Backend(
                new BackendId(id),
                new Address("127.0.0.1", 2),
                new Zone("howrah"),
                kind,
                service,
                version,
                models,
                Set.of(),
                Set.of(),
                slots,
                1,
                true,
                leaving);
    }

    static VersionShares rolloutShares(double share) {
        return new VersionShares(
                Map.of("registers", new VersionShares.Split(1, "v1", "v2", share, Set.of())), Set.of());
    }

    static <E> List<E> effectsOfType(List<Effect> effects, Class<E> type) {
        return effects.stream().filter(type::isInstance).map(type::cast).toList();
    }

    static <E> List<E> raisedEvents(List<Effect> effects, Class<E> type) {
        return effectsOfType(effects, Effect.Raise.class).stream()
                .map(Effect.Raise::event)
                .filter(type::isInstance)
                .map(type::cast)
                .toList();
    }

    static RequestEffect.Dispatch firstDispatch(List<Effect> effects) {
        return effectsOfType(effects, RequestEffect.Dispatch.class).get(0);
    }

    static RequestEffect.Respond firstResponse(List<Effect> effects) {
        return effectsOfType(effects, RequestEffect.Respond.class).get(0);
    }
}
