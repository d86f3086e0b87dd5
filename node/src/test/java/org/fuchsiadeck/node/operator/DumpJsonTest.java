package org.fuchsiadeck.node.operator;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.JsonNode;
import org.fuchsiadeck.core.Event;
import org.fuchsiadeck.core.NodeReducer;
import org.fuchsiadeck.core.NodeState;
import org.fuchsiadeck.core.config.ConfigEvent;
import org.fuchsiadeck.core.config.Configuration;
import org.fuchsiadeck.core.config.ExceptionRule;
import org.fuchsiadeck.core.config.Policy;
import org.fuchsiadeck.core.config.Team;
import org.fuchsiadeck.core.model.Address;
import org.fuchsiadeck.core.model.Backend;
import org.fuchsiadeck.core.model.BackendId;
import org.fuchsiadeck.core.model.BackendReport;
import org.fuchsiadeck.core.model.RequestId;
import org.fuchsiadeck.core.model.TeamId;
import org.fuchsiadeck.core.model.VersionShares;
import org.fuchsiadeck.core.model.Zone;
import org.fuchsiadeck.core.platform.PlatformEvent;
import org.fuchsiadeck.core.request.AttemptObserved;
import org.fuchsiadeck.core.request.CallerRequest;
import org.fuchsiadeck.core.request.Failure;
import org.fuchsiadeck.core.request.RequestEvent;
import org.fuchsiadeck.core.rollout.Rollout;
import org.fuchsiadeck.core.rollout.RolloutRegistry;
import org.fuchsiadeck.core.rollout.RolloutStage;
import org.fuchsiadeck.core.rollout.RolloutState;
import org.fuchsiadeck.node.settings.Settings;
import org.fuchsiadeck.node.testing.TestNode;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class DumpJsonTest {
    private static final long WALL_MS = 5_000;

    private final NodeReducer reducer = new NodeReducer();
    private final MetricRegistry metrics = new MetricRegistry();
    private final Settings settings = TestNode.settings(new Address("127.0.0.1", 1));
    private NodeState state = NodeState.initial(settings.identity());
    private long nowMs = 1_000;

    @Test
    void tellsTheConfigurationWithItsAgeAndSource() {
        configure(1);
        nowMs += 70;
        assertThat(dump().at("/config/revision").asLong()).isEqualTo(7);
        assertThat(dump().at("/config/age_ms").asLong()).isEqualTo(70);
        assertThat(dump().at("/config/source").asText()).isEqualTo("platform");
        assertThat(dump().at("/config/exceptions/0/expired").asBoolean()).isTrue();
        assertThat(dump().at("/config_revision").asLong()).isEqualTo(7);
    }

    @Test
    void tellsWhatIsKnownOfEachServerAndWhy() {
        configure(1);
        take(new PlatformEvent.Listed(List.of(backend("a1"), backend("a2"), backend("a3")), List.of()));
        take(new PlatformEvent.ReclaimNoticed("a3", 4_000));
        arrive("r1", "t");
        String first = dump().at("/decisions/0/server").asText();
        Failure failure = new Failure(Failure.Step.CONNECTING, Failure.Kind.UNREACHABLE, "127.0.0.1:2", "refused");
        BackendReport report = new BackendReport(2, 3, 10, false);
        take(new RequestEvent.AttemptFailed(new RequestId("r1"), 1, failure, Optional.of(report)));
        nowMs += 40;
        JsonNode failed = server(first);
        assertThat(failed.path("condition").asText()).isEqualTo("suspected");
        assertThat(failed.path("why").asText()).isEqualTo("UNREACHABLE refused; next trial in 1960 ms");
        assertThat(failed.at("/reported/others").asInt()).isEqualTo(4);
        assertThat(failed.at("/reported/age_ms").asInt()).isEqualTo(50);
        JsonNode leaving = server("a3");
        assertThat(leaving.path("why").asText()).isEqualTo("a reclaim notice says so; gone in 3960 ms");
        JsonNode live = server(first.equals("a1") ? "a2" : "a1");
        assertThat(live.path("condition").asText()).isEqualTo("live");
        assertThat(live.path("in_flight").asInt()).isEqualTo(1);
        assertThat(live.path("limit").asInt()).isEqualTo(1);
    }

    @Test
    void countsWhatWaitsByTeam() {
        configure(1);
        take(new PlatformEvent.Listed(List.of(backend("a1")), List.of()));
        for (int i = 0; i < 4; i++) {
            arrive("r" + i, i < 3 ? "big" : "small");
        }
        JsonNode queue = dump().at("/queues/0");
        assertThat(queue.path("in_flight").asInt()).isEqualTo(1);
        assertThat(queue.at("/waiting_by_team/big").asInt()).isEqualTo(2);
        assertThat(queue.at("/waiting_by_team/small").asInt()).isEqualTo(1);
    }

    @Test
    void tellsWhyRequestsWereSentOrRefusedTheLatestFirst() {
        configure(1);
        arrive("refused", "t");
        take(new PlatformEvent.Listed(List.of(backend("a1")), List.of()));
        arrive("sent", "t");
        JsonNode sent = dump().at("/decisions/0");
        assertThat(sent.path("request").asText()).isEqualTo("sent");
        assertThat(sent.path("route").asText()).isEqualTo("register");
        assertThat(sent.path("server").asText()).isEqualTo("a1");
        assertThat(sent.path("why").asText()).startsWith("FRESH a1 at ");
        JsonNode refused = dump().at("/decisions/1");
        assertThat(refused.path("decision").asText()).isEqualTo("REFUSED");
        assertThat(refused.path("why").asText()).isEqualTo("no_backend");
    }

    @Test
    void sumsTheEvidenceOfARollout() {
        Rollout rollout = new Rollout(
                "application",
                3,
                "v1",
                "v2",
                5,
                0,
                9_000,
                Rollout.InsufficientEvidencePolicy.TAKE_BACK,
                RolloutStage.EARLY,
                List.of());
        RolloutState none = RolloutState.initial();
        RolloutRegistry book = RolloutRegistry.EMPTY.with(rollout);
        RolloutState rollouts = new RolloutState(
                book,
                1,
                true,
                book,
                none.own(),
                none.others(),
                none.servers(),
                none.sync(),
                0,
                none.orders(),
                VersionShares.NONE);
        state = new NodeState(
                state.self(), state.config(), state.members(), rollouts, state.claims(), state.requests());
        take(new AttemptObserved("register", backend("a1"), AttemptObserved.Verdict.GOOD, 5, -1, 1));
        take(new AttemptObserved("register", backend("a1"), AttemptObserved.Verdict.FAILED, 5, -1, 9));
        JsonNode json = dump().at("/rollouts/0");
        assertThat(json.path("stage").asText()).isEqualTo("EARLY");
        assertThat(json.path("new_share").asDouble()).isEqualTo(0.05);
        assertThat(json.at("/evidence/v1/good").asInt()).isEqualTo(1);
        assertThat(json.at("/evidence/v1/failed").asInt()).isEqualTo(1);
        assertThat(json.at("/evidence/v2/good").asInt()).isZero();
    }

    @Test
    void leavesTheWholeStateOutOfABriefDump() {
        metrics.counter("platform.calls.get").inc();
        assertThat(dump().has("state")).isFalse();
        assertThat(dump().at("/budgets/platform/calls.get").asInt()).isEqualTo(1);
        assertThat(dump().toString()).doesNotContain("secret-word");
        assertThat(DumpJson.of(source(), true).at("/state/requests/draws").isNumber())
                .isTrue();
    }

    private void configure(int concurrency) {
        ExceptionRule over =
                new ExceptionRule("over", Map.of(), Map.of("backend_concurrency", 9L), OptionalLong.of(WALL_MS));
        Configuration config = new Configuration(
                7,
                Policy.DEFAULT.withValues(Map.of("backend_concurrency", (long) concurrency)),
                List.of(over),
                TestNode.CONFIGURATION.routes(),
                List.of(new Team(new TeamId("big"), 1), new Team(new TeamId("small"), 1)));
        take(new ConfigEvent.Parsed(config, "", "platform"));
    }

    private void arrive(String id, String team) {
        CallerRequest call = new CallerRequest(
                "GET", "/registers/1", new TeamId(team), Optional.empty(), 0, false, Optional.empty());
        take(new RequestEvent.Arrived(new RequestId(id), call));
    }

    private void take(Event event) {
        state = reducer.reduce(state, nowMs, WALL_MS, event).state();
    }

    private JsonNode server(String id) {
        for (JsonNode server : dump().path("backends")) {
            if (server.path("id").asText().equals(id)) {
                return server;
            }
        }
        throw new AssertionError("no server " + id);
    }

    private JsonNode dump() {
        return DumpJson.of(source(), false);
    }

    private DumpSource source() {
        Configuration config = state.config().current();
        return new DumpSource(nowMs, WALL_MS, state, config, settings, metrics, false, List.of(), Map.of(), 0);
    }

    private static Backend backend(String id) {
        return new Backend(
                new BackendId(id),
                new Address("127.0.0.1", 2),
                new Zone("sur"),
                Backend.Kind.APPLICATION,
                "application",
                "v1",
                Set.of(),
                Set.of(),
                Set.of(),
                4,
                1,
                true,
                false);
    }
}
