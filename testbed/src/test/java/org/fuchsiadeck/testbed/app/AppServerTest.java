package org.fuchsiadeck.testbed.app;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.net.http.HttpRequest;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;

import com.fasterxml.jackson.databind.JsonNode;
import org.fuchsiadeck.testbed.Http;
import org.fuchsiadeck.testbed.Until;
import org.fuchsiadeck.testbed.http.Json;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.fuchsiadeck.testbed.app.AppFault.Kind;
import static org.fuchsiadeck.testbed.app.AppFault.Step;

@Timeout(60)
class AppServerTest {
    private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(1);

    private AppServer app;

    @BeforeEach
    void start() throws IOException {
        start(0, 4);
    }

    @AfterEach
    void stop() {
        app.close();
        timer.shutdownNow();
    }

    private void start(long serviceMs, int slots) throws IOException {
        app = new AppServer("a", "v1", slots, 0, new AppSettings(serviceMs, 0), timer);
        app.start();
    }

    private Http.Answer post(String entry) {
        return Http.post(
                app.address(),
                "/meals",
                "{\"entry\":\"" + entry + "\",\"other\":1}",
                "X-Request-Id",
                "r",
                "X-Attempt",
                "1");
    }

    private CompletableFuture<Http.Answer> postAsync(String entry) {
        return Http.sendAsync(Http.request(app.address(), "/meals")
                .POST(HttpRequest.BodyPublishers.ofString("{\"entry\":\"" + entry + "\"}")));
    }

    @Test
    void countsEachRunByItsEntry() {
        assertThat(post("e").status()).isEqualTo(201);
        assertThat(post("e").body().get("runs").asInt()).isEqualTo(2);
        Http.post(app.address(), "/meals", "{}", "X-Request-Id", "r7");
        assertThat(Http.get(app.address(), "/v1/audit").body().get("runs"))
                .isEqualTo(Json.read("{\"e\":2,\"r7\":1}", JsonNode.class));
    }

    @Test
    void readingRunsNothing() {
        assertThat(Http.get(app.address(), "/cases/7").status()).isEqualTo(200);
        assertThat(app.audit().runs()).isEmpty();
    }

    @Test
    void refusalIsNotRun() {
        Http.post(app.address(), "/v1/faults", "{\"faults\":[{\"kind\":\"refuse\",\"count\":1}]}");
        Http.Answer refused = post("e");
        assertThat(refused.status()).isEqualTo(503);
        assertThat(refused.header("X-Not-Run")).isEqualTo("1");
        assertThat(app.audit().runs()).isEmpty();
        assertThat(post("e").status()).isEqualTo(201);
    }

    @ParameterizedTest
    @CsvSource({"BEFORE_READING,0", "BEFORE_RUNNING,0", "AFTER_RUNNING,1", "MID_ANSWER,1"})
    void closesTheConnectionAtAStep(Step step, int runs) {
        app.faults(AppFaults.of(AppFault.close(step, 1)));
        assertThatThrownBy(() -> post("e")).isInstanceOf(UncheckedIOException.class);
        assertThat(app.audit().runs().getOrDefault("e", 0)).isEqualTo(runs);
    }

    @ParameterizedTest
    @CsvSource({"BEFORE_RUNNING,0", "AFTER_RUNNING,1"})
    void failsBeforeOrAfterRunning(Step step, int runs) {
        app.faults(AppFaults.of(new AppFault(Kind.FAIL, step, 1, 0, null, 0)));
        assertThat(post("e").status()).isEqualTo(500);
        assertThat(app.audit().runs().getOrDefault("e", 0)).isEqualTo(runs);
    }

    @Test
    void answersUnderAnotherRequestsId() {
        app.faults(AppFaults.of(AppFault.next(Kind.WRONG_ID, 1)));
        Http.Answer answer = post("e");
        assertThat(answer.header("X-Request-Id")).isEqualTo("not-r");
        assertThat(answer.body().get("entry").asText()).isEqualTo("not-e");
    }

    @Test
    void lateAnswerHasRunBeforeItComes() {
        app.faults(AppFaults.of(new AppFault(Kind.LATE, null, 1, 0, null, 60_000)));
        CompletableFuture<Http.Answer> late = postAsync("e");
        Until.isTrue(() -> app.audit().runs().containsKey("e"));
        assertThat(late).isNotDone();
    }

    @Test
    void duplicateAnswerFollowsTheFirstOnItsConnection() throws IOException {
        app.faults(AppFaults.of(AppFault.next(Kind.DUPLICATE, 1)));
        String body = "{\"entry\":\"e\"}";
        int port = Integer.parseInt(app.address().split(":")[1]);
        try (var socket = new Socket("127.0.0.1", port)) {
            String head = "POST /meals HTTP/1.1\r\nHost: a\r\nX-Request-Id: r\r\nContent-Length: ";
            socket.getOutputStream()
                    .write((head + body.length() + "\r\n\r\n" + body).getBytes(StandardCharsets.US_ASCII));
            StringBuilder came = new StringBuilder();
            while (came.toString().split("\"entry\":\"e\"", -1).length < 3) {
                int c = socket.getInputStream().read();
                assertThat(c).as("%s", came).isNotNegative();
                came.append((char) c);
            }
        }
        assertThat(app.audit().runs()).containsEntry("e", 1);
    }

    @Test
    void killedWhileItRunsItCountsNothing() throws IOException {
        app.close();
        start(60_000, 1);
        CompletableFuture<Http.Answer> first = postAsync("e");
        Until.isTrue(() -> app.running() == 1);
        app.kill();
        assertThat(first.handle((answer, e) -> e).join()).isNotNull();
        assertThat(app.audit().runs()).isEmpty();
    }
}
