package org.fuchsiadeck.node.operator;

import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import org.fuchsiadeck.core.model.Address;
import org.fuchsiadeck.node.testing.Caller;
import org.fuchsiadeck.node.testing.Sockets;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against an operator's call that is hidden in the body of another one. */
class OperatorFramingTest {
    private static final String LIVE = "POST /live HTTP/1.1\r\nHost: n\r\n";
    private static final String DRAIN =
            "POST /drain HTTP/1.1\r\nHost: n\r\nAuthorization: Bearer t\r\nContent-Length: 0\r\n\r\n";

    private final AtomicInteger drains = new AtomicInteger();
    private Address address;
    private OperatorServer server;

    @BeforeEach
    void start() throws Exception {
        address = Sockets.freeAddress();
        Operations operations = new Operations(
                List::of,
                whole -> JsonNodeFactory.instance.objectNode(),
                new MetricRegistry(),
                Map::of,
                drains::incrementAndGet);
        server = OperatorServer.start(address, "t", operations);
    }

    @AfterEach
    void stop() {
        server.close();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "Content-Length: 0\r\nTransfer-Encoding: chunked",
                "Transfer-Encoding: identity",
                "Transfer-Encoding: xchunked",
                "Transfer-Encoding : chunked",
                "X: a\nContent-Length: 0"
            })
    void neverRunsACallHiddenInAnother(String framing) throws Exception {
        for (String before : List.of("", "GET /live HTTP/1.1\r\nHost: n\r\n\r\n")) {
            try (Caller caller = new Caller(address)) {
                caller.send(before + LIVE + framing + "\r\n\r\n" + DRAIN);
                if (!before.isEmpty()) {
                    assertThat(caller.answer().status()).isEqualTo(200);
                }
                assertThat(caller.answer().status()).isEqualTo(400);
                assertThat(caller.answer()).isNull();
                assertThat(drains).hasValue(0);
            }
        }
    }

    @Test
    void answersCallsSentAheadInTheirOrder() throws Exception {
        String withBody = LIVE + "Content-Length: " + DRAIN.length() + "\r\n\r\n" + DRAIN;
        try (Caller caller = new Caller(address)) {
            for (int i = 0; i < 20; i++) {
                caller.send(withBody).get("/live").get("/ready");
            }
            for (int i = 0; i < 20; i++) {
                assertThat(caller.answer().status()).isEqualTo(401);
                assertThat(caller.answer().text()).contains("live");
                assertThat(caller.answer().text()).contains("ready");
            }
            assertThat(drains).hasValue(0);
            assertThat(caller.send(DRAIN).answer().status()).isEqualTo(202);
            assertThat(drains).hasValue(1);
        }
    }
}
