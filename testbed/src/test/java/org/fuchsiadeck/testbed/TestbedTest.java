package org.fuchsiadeck.testbed;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import org.fuchsiadeck.testbed.app.AppSettings;
import org.fuchsiadeck.testbed.cloud.NodeInstance;
import org.fuchsiadeck.testbed.engine.CostModel;
import org.fuchsiadeck.testbed.engine.EngineSettings;
import org.fuchsiadeck.testbed.engine.Tokens;
import org.fuchsiadeck.testbed.http.Json;
import org.fuchsiadeck.testbed.kv.KvSettings;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

@Timeout(60)
class TestbedTest {
    private static final EngineSettings FREE = EngineSettings.with(CostModel.free());

    private static BackendSpec app(String id, String zone) {
        return BackendSpec.app(id, zone, "registers", "v1", AppSettings.defaults());
    }

    private static BackendSpec engine(String id, String version) {
        return BackendSpec.engine(id, "howrah", "assistant", version, "m", FREE);
    }

    @Test
    void servesEveryPresetThroughItsProxies() throws IOException {
        for (TestbedSpec spec : new TestbedSpec[] {TestbedSpec.howrah(), TestbedSpec.bucaramanga()}) {
            try (Testbed testbed = Testbed.start(spec)) {
                TestbedState state = testbed.state();
                assertThat(state.backends())
                        .hasSize(spec.backends().size())
                        .allMatch(b -> !b.address().equals(b.direct()));
                state.backends()
                        .forEach(b -> assertThat(
                                        Http.get(b.address(), "/v1/load").status())
                                .isEqualTo(200));
                assertThat(Http.get(state.kv().address(), "/v1/kv/none").status())
                        .isEqualTo(404);
            }
        }
    }

    @Test
    void listsTheProxysAddressInTheCloud() throws IOException {
        try (Testbed testbed = Testbed.start(TestbedSpec.of(app("a", "howrah").withProxy(true)))) {
            JsonNode listed =
                    Http.get(testbed.address("cloud"), "/v1/instances").body().at("/backends/0");
            assertThat(listed.get("address").asText())
                    .isEqualTo(testbed.proxy("a").address());
            assertThat(listed.get("kind").asText()).isEqualTo("APPLICATION");
        }
    }

    @Test
    void reclaimsAZoneAndKillsItAtTheEndOfTheNotice() throws IOException {
        try (Testbed testbed = Testbed.start(TestbedSpec.of(app("a", "howrah"), app("b", "dumdum")))) {
            Http.post(testbed.controlAddress(), "/v1/zone/howrah/reclaim?notice_ms=300", "");
            JsonNode list = Http.get(testbed.address("cloud"), "/v1/instances").body();
            assertThat(list.at("/notices/0/instance").asText()).isEqualTo("a");
            assertThat(Http.get(testbed.address("a"), "/x").header("X-Load")).endsWith("leaving=1");
            Until.isTrue(() -> !testbed.state().backends().get(0).running());
            Until.isTrue(() -> testbed.cloud().backends().size() == 1);
            assertThat(Http.get(testbed.address("b"), "/x").header("X-Load")).endsWith("leaving=0");
        }
    }

    @Test
    void startsAKilledBackendOnTheSamePortWithItsCounts() throws IOException {
        try (Testbed testbed = Testbed.start(TestbedSpec.of(app("a", "howrah")))) {
            String address = testbed.address("a");
            Http.post(address, "/meals", "{\"entry\":\"e\"}");
            Http.post(testbed.controlAddress(), "/v1/stop/a", "");
            assertThatThrownBy(() -> Http.get(address, "/x")).hasRootCauseInstanceOf(IOException.class);
            Http.post(testbed.controlAddress(), "/v1/start/a", "");
            Http.post(address, "/meals", "{\"entry\":\"e\"}");
            assertThat(Http.get(testbed.controlAddress(), "/v1/audit")
                            .body()
                            .at("/runs/e")
                            .asInt())
                    .isEqualTo(2);
        }
    }

    @Test
    void addsABackendWithANewVersionAtRunTime() throws IOException {
        try (Testbed testbed = Testbed.start(TestbedSpec.of(engine("e1", "v1")))) {
            Http.Answer added = Http.post(testbed.controlAddress(), "/v1/backend", Json.write(engine("e2", "v2")));
            assertThat(added.status()).as("%s", added.body()).isEqualTo(201);
            Http.Answer answer = Http.post(
                    testbed.address("e2"), "/v1/completions", "{\"model\":\"m\",\"prompt\":\"p\",\"max_tokens\":5}");
            assertThat(answer.body().get("text").asText()).isEqualTo(Tokens.text("v2", "p", 5));
            assertThat(testbed.cloud().backends()).extracting("version").containsExactly("v1", "v2");
        }
    }

    @Test
    void givesNoticeToTheNodesOfAZoneWhenAsked() throws IOException {
        NodeInstance node = new NodeInstance("n1", "127.0.0.1:7001", "howrah");
        try (Testbed testbed = Testbed.start(TestbedSpec.of(app("a", "howrah")).withNodes(List.of(node)))) {
            JsonNode ids = Http.post(testbed.controlAddress(), "/v1/zone/howrah/reclaim?notice_ms=60000&nodes=1", "")
                    .body();
            assertThat(ids).isEqualTo(Json.read("{\"ids\":[\"a\",\"n1\"]}", JsonNode.class));
        }
    }

    @Test
    void keepsTheGivenPortForCallersOfAProxy() throws IOException {
        int port;
        try (ServerSocket free = new ServerSocket(0)) {
            port = free.getLocalPort();
        }
        KvSettings kv = KvSettings.defaults().withPort(port);
        KvSettings proxied = new KvSettings(kv.port(), true, 0, 0, 0);
        try (Testbed testbed = Testbed.start(new TestbedSpec(0, proxied, null, null, null, null))) {
            assertThat(testbed.address("kv")).isEqualTo("127.0.0.1:" + port);
            assertThat(testbed.kv().address()).isNotEqualTo(testbed.address("kv"));
        }
    }

    @Test
    void readsASpecificationWithDefaults() {
        TestbedSpec spec = Json.read(
                "{\"backends\":[{\"id\":\"e\",\"kind\":\"engine\",\"zone\":\"z\",\"service\":\"s\"}]}",
                TestbedSpec.class);
        assertThat(spec.backends().get(0).slots()).isPositive();
        assertThat(spec.backends().get(0).reclaimable()).isTrue();
        assertThat(Json.read(Json.write(TestbedSpec.howrah()), TestbedSpec.class))
                .isEqualTo(TestbedSpec.howrah());
    }

    @Test
    void daemonPrintsItsAddressesAndEndsWhenInterrupted() throws InterruptedException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        int[] code = {-1};
        Thread daemon = new Thread(() -> code[0] = TestbedDaemon.run(TestbedSpec.of(), new PrintStream(out)));
        daemon.start();
        Until.isTrue(() -> out.toString(StandardCharsets.UTF_8).endsWith("\n"));
        JsonNode state = Json.read(out.toString(StandardCharsets.UTF_8), JsonNode.class);
        assertThat(Http.get(state.get("control").asText(), "/v1/state").status())
                .isEqualTo(200);
        daemon.interrupt();
        daemon.join(Duration.ofSeconds(20).toMillis());
        assertThat(code[0]).isEqualTo(TestbedDaemon.OK);
    }
}
