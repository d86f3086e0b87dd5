package org.fuchsiadeck.node.testing;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Either;
import org.fuchsiadeck.core.Effect;
import org.fuchsiadeck.core.Event;
import org.fuchsiadeck.core.Identity;
import org.fuchsiadeck.core.NodeState;
import org.fuchsiadeck.core.Step;
import org.fuchsiadeck.core.View;
import org.fuchsiadeck.core.claim.ClaimEvent;
import org.fuchsiadeck.core.config.Configuration;
import org.fuchsiadeck.core.config.Policy;
import org.fuchsiadeck.core.config.Route;
import org.fuchsiadeck.core.config.RouteOptions;
import org.fuchsiadeck.core.duty.DutyRules;
import org.fuchsiadeck.core.model.Address;
import org.fuchsiadeck.core.model.Backend;
import org.fuchsiadeck.core.model.NodeId;
import org.fuchsiadeck.core.model.Peers;
import org.fuchsiadeck.core.model.VersionShares;
import org.fuchsiadeck.core.model.Zone;
import org.fuchsiadeck.core.request.RequestEvent;
import org.fuchsiadeck.core.request.RequestReducer;
import org.fuchsiadeck.core.request.RequestState;
import org.fuchsiadeck.core.share.ShareRules;
import org.fuchsiadeck.node.Node;
import org.fuchsiadeck.node.Parts;
import org.fuchsiadeck.node.front.CallerProtocol;
import org.fuchsiadeck.node.front.StandardCallerProtocol;
import org.fuchsiadeck.node.log.LogLevel;
import org.fuchsiadeck.node.settings.Limits;
import org.fuchsiadeck.node.settings.LoadedSettings;
import org.fuchsiadeck.node.settings.RouterChoice;
import org.fuchsiadeck.node.settings.Settings;
import org.fuchsiadeck.node.settings.SettingsError;
import org.tomlj.Toml;

/** A node with a configuration that does not change, and a list of instances that names the given servers. */
public final class TestNode implements AutoCloseable {
    public static final Configuration CONFIGURATION = new Configuration(
            1,
            Policy.DEFAULT,
            List.of(),
            List.of(
                    route("entries", Backend.Kind.APPLICATION, "POST", "/registers/*/entries", false),
                    route("register", Backend.Kind.APPLICATION, "GET", "/registers/*", true),
                    route("assistant", Backend.Kind.ENGINE, "POST", "/assistant", true)),
            List.of());
    public static final Limits LIMITS = new Limits(4_096, 8_192, 1 << 20, 400, 50, 40, 64 << 20);

    public final Settings settings;
    public final Node node;
    public final List<Event> events = new CopyOnWriteArrayList<>();
    private final FakeServer list;
    public volatile RequestState requests = RequestState.initial();
    private volatile Consumer<Event> beforeReduction = e -> {};

    public TestNode(FakeServer... servers) throws Exception {
        this(LIMITS, servers);
    }

    public TestNode(Limits limits, FakeServer... servers) throws Exception {
        this(limits, new StandardCallerProtocol(), servers);
    }

    public TestNode(Limits limits, CallerProtocol callers, FakeServer... servers) throws Exception {
        this(
                limits,
                callers,
                Arrays.stream(servers)
                        .flatMap(s -> Arrays.stream(Backend.Kind.values()).map(s::as))
                        .map(TestNode::json)
                        .toList());
    }

    private TestNode(Limits limits, CallerProtocol callers, List<String> backends) throws Exception {
        String body = "{\"backends\":[" + String.join(",", backends) + "],\"nodes\":[],\"notices\":[]}";
        this.list = new FakeServer((m, s) -> FakeServer.plain(m, s, 200, body));
        this.settings = settings(list.address(), limits);
        Parts standard = Parts.standard();
        Parts parts = new Parts(
                this::reduce,
                s -> CONFIGURATION,
                s -> List.of(),
                standard.platform(),
                standard.peers(),
                callers,
                standard.backends(),
                false);
        Either<SettingsError, Node> started =
                Node.start(new LoadedSettings(settings, Path.of("node.toml"), Toml.parse("")), parts);
        this.node = started.getOrElseThrow(e -> new IOException(e.toString()));
        Await.until(
                "the list was read",
                () -> events.stream().anyMatch(e -> e instanceof org.fuchsiadeck.core.platform.PlatformEvent.Listed));
    }

    /** Runs an action on the thread of the event loop before each event. */
    public void beforeReduction(Consumer<Event> action) {
        beforeReduction = action;
    }

    /** Returns a gauge as operators see it. */
    public long gauge(String name) throws IOException {
        return figure("gauges", name);
    }

    /** Returns a counter as operators see it. */
    public long counter(String name) throws IOException {
        return figure("counters", name);
    }

    private long figure(String kind, String name) throws IOException {
        try (Caller operator = new Caller(settings.operators())) {
            String text = operator.get("/metrics", "Authorization: Bearer secret-word")
                    .answer()
                    .text();
            return new ObjectMapper().readTree(text).path(kind).path(name).asLong(-1);
        }
    }

    public Caller caller() throws IOException {
        return new Caller(settings.callers());
    }

    public <E extends Event> List<E> events(Class<E> type) {
        return events.stream().filter(type::isInstance).map(type::cast).toList();
    }

    private Step<NodeState> reduce(NodeState state, long nowMs, long wallMs, Event event) {
        beforeReduction.accept(event);
        events.add(event);
        Queue<Event> raised = new ArrayDeque<>(List.of(event));
        List<Effect> effects = new ArrayList<>();
        RequestState requests = state.requests();
        while (!raised.isEmpty()) {
            View view = new View(state.self(), nowMs, wallMs, CONFIGURATION, VersionShares.NONE, Peers.NONE);
            Step<RequestState> step = new RequestReducer().reduce(requests, view, raised.remove());
            requests = step.state();
            for (Effect effect : step.effects()) {
                if (effect instanceof Effect.Raise raise) {
                    raised.add(raise.event());
                    grant(raise.event()).ifPresent(raised::add);
                } else {
                    effects.add(effect);
                }
            }
        }
        this.requests = requests;
        NodeState next = new NodeState(
                state.self(), state.config(), state.members(), state.rollouts(), state.claims(), requests);
        return new Step<>(next, effects);
    }

    /** Grants every claim, as the owners of the keys would. */
    private static Optional<Event> grant(Event event) {
        return event instanceof ClaimEvent.Wanted wanted
                ? Optional.of(new RequestEvent.ClaimGranted(wanted.id()))
                : Optional.empty();
    }

    public static Settings settings(Address list) {
        return settings(list, LIMITS);
    }

    private static Settings settings(Address list, Limits limits) {
        return new Settings(
                new Identity(new NodeId("n1"), new Zone("dumdum"), Sockets.freeAddress(), 1),
                Sockets.freeAddress(),
                Sockets.freeAddress(),
                Optional.empty(),
                "secret-word",
                Sockets.freeAddress(),
                List.of(),
                Sockets.freeAddress(),
                list,
                50,
                2_000,
                0,
                LogLevel.INFO,
                Optional.empty(),
                limits,
                RouterChoice.BETTER_OF_TWO,
                ShareRules.DEFAULT,
                DutyRules.DEFAULT);
    }

    private static Route route(String name, Backend.Kind kind, String method, String path, boolean idempotent) {
        String service = kind.name().toLowerCase(java.util.Locale.ROOT);
        return new Route(name, service, kind, method, path, idempotent, 30_000, 1 << 20, 5, RouteOptions.NONE);
    }

    private static String json(Backend b) {
        return String.format(
                "{\"id\":\"%s%s\",\"address\":\"%s\",\"zone\":\"%s\",\"kind\":\"%s\",\"service\":\"%s\","
                        + "\"version\":\"v1\",\"models\":[\"m\"],\"adapters\":[],\"roles\":[],\"slots\":4,"
                        + "\"price_per_hour\":0.1,\"reclaimable\":true,\"leaving\":false}",
                b.id(), b.kind(), b.address(), b.zone(), b.kind(), b.service());
    }

    @Override
    public void close() throws IOException {
        node.close();
        list.close();
    }
}
