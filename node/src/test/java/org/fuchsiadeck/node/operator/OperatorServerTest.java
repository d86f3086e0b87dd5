package org.fuchsiadeck.node.operator;

import org.fuchsiadeck.node.testing.Await;
import org.fuchsiadeck.node.testing.Caller;
import org.fuchsiadeck.node.testing.FakeServer;
import org.fuchsiadeck.node.testing.Sockets;
import org.fuchsiadeck.node.testing.TestNode;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class OperatorServerTest {
    private static final String TOKEN = "Authorization: Bearer secret-word";

    @Test
    void answersOperatorsWhoProveThemselves() throws Exception {
        try (FakeServer backend = new FakeServer((m, s) -> {});
                TestNode node = new TestNode(backend)) {
            Await.until("ready", () -> get(node, "/ready").status() == 200);
            // The list of servers is read before the node is ready, and shown once its event is reduced.
            String server = backend.address().toString();
            Await.until(
                    "the server is shown",
                    () -> get(node, "/dump", TOKEN).text().contains(server));
            assertThat(get(node, "/live").status()).isEqualTo(200);
            assertThat(get(node, "/dump").status()).isEqualTo(401);
            assertThat(get(node, "/dump", "Authorization: Bearer secret").status())
                    .isEqualTo(401);
            assertThat(get(node, "/metrics", TOKEN).text()).contains("\"requests.open\":0");
            assertThat(get(node, "/nothing", TOKEN).status()).isEqualTo(404);
            Sockets.Message dump = get(node, "/dump", TOKEN);
            assertThat(dump.status()).isEqualTo(200);
            assertThat(dump.text())
                    .contains(
                            "\"config_revision\":1",
                            "\"operatorToken\":\"(hidden)\"",
                            backend.address().toString())
                    .contains("\"state\":")
                    .doesNotContain("secret-word");
            assertThat(get(node, "/dump?raw=1", TOKEN).text()).contains("\"state\":");
            assertThat(get(node, "/dump?brief=1", TOKEN).text())
                    .contains("\"config_revision\":1")
                    .doesNotContain("\"state\":");
        }
    }

    @Test
    void isUnreadyAtOnceWhenAskedToDrain() throws Exception {
        try (FakeServer backend = new FakeServer((m, s) -> {});
                TestNode node = new TestNode(backend);
                Caller waiting = node.caller()) {
            waiting.get("/registers/1");
            Await.until("a request is in progress", () -> !backend.received.isEmpty());
            try (Caller operator = new Caller(node.settings.operators())) {
                operator.post("/drain", "", TOKEN);
                assertThat(operator.answer().status()).isEqualTo(202);
            }
            Sockets.Message ready = get(node, "/ready");
            assertThat(ready.status()).isEqualTo(503);
            assertThat(ready.text()).isEqualTo("{\"reasons\":[\"the node is draining\"]}");
        }
    }

    private static Sockets.Message get(TestNode node, String path, String... headers) throws Exception {
        try (Caller operator = new Caller(node.settings.operators())) {
            return operator.get(path, headers).answer();
        }
    }
}
