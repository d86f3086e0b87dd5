package org.fuchsiadeck.testbed.cloud;

import java.io.IOException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;

import com.fasterxml.jackson.databind.JsonNode;
import org.fuchsiadeck.testbed.Http;
import org.fuchsiadeck.testbed.Until;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

@Timeout(60)
class CloudServiceTest {
    private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(1);

    private final CloudService cloud = new CloudService(0, timer);

    @BeforeEach
    void start() throws IOException {
        cloud.start();
        cloud.put(new NodeInstance("n1", "127.0.0.1:7001", "howrah"));
    }

    @AfterEach
    void stop() {
        cloud.close();
        timer.shutdownNow();
    }

    private JsonNode list() {
        return Http.get(cloud.address(), "/v1/instances").body();
    }

    private void post(String path, String body) {
        assertThat(Http.post(cloud.address(), path, body).status()).isEqualTo(200);
    }

    @Test
    void addsAndRemovesInstances() {
        post("/v1/instances", "{\"node\":{\"id\":\"n2\",\"address\":\"127.0.0.1:7002\",\"zone\":\"behala\"}}");
        assertThat(list().get("nodes")).hasSize(2);
        Http.delete(cloud.address(), "/v1/instances/n1");
        assertThat(list().at("/nodes/0/id").asText()).isEqualTo("n2");
    }

    @Test
    void noticeShowsAndTheInstanceGoesAtItsEnd() {
        post("/v1/instances/n1/notice", "{\"notice_ms\":100}");
        assertThat(list().at("/notices/0/instance").asText()).isEqualTo("n1");
        assertThat(list().at("/notices/0/notice_ms").asLong()).isLessThanOrEqualTo(100);
        Until.isTrue(() -> list().get("nodes").isEmpty());
        assertThat(list().get("notices")).isEmpty();
    }

    @Test
    void lostNoticeDoesNotShowButTheInstanceGoes() {
        post("/v1/faults", "{\"lose_notices\":true}");
        cloud.notice("n1", 100);
        assertThat(list().get("notices")).isEmpty();
        Until.isTrue(() -> list().get("nodes").isEmpty());
    }

    @Test
    void laggingListShowsThePast() {
        post("/v1/faults", "{\"lag_ms\":60000}");
        cloud.remove("n1");
        assertThat(list().get("nodes")).isEmpty();
        post("/v1/faults", "{}");
        cloud.put(new NodeInstance("n2", "127.0.0.1:7002", "howrah"));
        assertThat(list().get("nodes")).hasSize(1);
        post("/v1/faults", "{\"lag_ms\":60000}");
        assertThat(list().get("nodes")).isEmpty();
    }

    @Test
    void outageAnswers503() {
        post("/v1/faults", "{\"outage\":true}");
        assertThat(Http.get(cloud.address(), "/v1/instances").status()).isEqualTo(503);
    }
}
