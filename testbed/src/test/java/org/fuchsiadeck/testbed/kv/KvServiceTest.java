package org.fuchsiadeck.testbed.kv;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.http.HttpRequest;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
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
import static org.assertj.core.api.Assertions.assertThatThrownBy;

@Timeout(60)
class KvServiceTest {
    private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(1);

    private KvService kv;

    @BeforeEach
    void start() throws IOException {
        start(KvSettings.defaults());
    }

    @AfterEach
    void stop() {
        kv.close();
        timer.shutdownNow();
    }

    private void start(KvSettings settings) throws IOException {
        kv = new KvService(settings, timer);
        kv.start();
    }

    private Http.Answer put(String key, String value, String query) {
        return Http.put(kv.address(), "/v1/kv/" + key + query, value);
    }

    private static long revision(Http.Answer answer) {
        return answer.body().get("revision").asLong();
    }

    private CompletableFuture<Http.Answer> watch(long after, long waitMs) {
        String path = "/v1/watch?prefix=config%2F&after=" + after + "&wait_ms=" + waitMs;
        return Http.sendAsync(Http.request(kv.address(), path));
    }

    @Test
    void keepsAKeyWithSlashesAndText() {
        put("config%2Fcurrent", "নোটিশ", "?expect=0");
        JsonNode found = Http.get(kv.address(), "/v1/kv/config%2Fcurrent").body();
        assertThat(found.get("key").asText()).isEqualTo("config/current");
        assertThat(found.get("value").asText()).isEqualTo("নোটিশ");
        assertThat(found.get("service_revision").asLong()).isEqualTo(1);
    }

    @Test
    void swapsOnlyAtTheExpectedRevision() {
        long first = revision(put("k", "a", "?expect=0"));
        Http.Answer tooLate = put("k", "b", "?expect=0");
        assertThat(tooLate.status()).isEqualTo(409);
        assertThat(revision(tooLate)).isEqualTo(first);
        assertThat(put("k", "b", "?expect=" + first).status()).isEqualTo(200);
        assertThat(Http.delete(kv.address(), "/v1/kv/k?expect=" + first).status())
                .isEqualTo(409);
        assertThat(Http.delete(kv.address(), "/v1/kv/k").status()).isEqualTo(200);
        assertThat(Http.delete(kv.address(), "/v1/kv/k").status()).isEqualTo(404);
    }

    @Test
    void oneOfManyRacingSwapsWins() {
        List<CompletableFuture<Http.Answer>> racing = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            HttpRequest.Builder put =
                    Http.request(kv.address(), "/v1/kv/k?expect=0").PUT(HttpRequest.BodyPublishers.ofString("" + i));
            racing.add(Http.sendAsync(put));
        }
        assertThat(racing.stream().filter(f -> f.join().status() == 200)).hasSize(1);
    }

    @Test
    void refusesAValueOverTheLimit() {
        assertThat(put("k", "x".repeat(1 << 20), "").status()).isEqualTo(200);
        assertThat(put("k", "x".repeat((1 << 20) + 1), "").status()).isEqualTo(413);
    }

    @Test
    void losesTheAnswerAfterTheWriteTookEffect() {
        Http.post(kv.address(), "/v1/faults", "{\"lose_next_write_answers\":1}");
        assertThatThrownBy(() -> put("k", "a", "?expect=0")).isInstanceOf(UncheckedIOException.class);
        assertThat(kv.peek("k")).map(KvEntry::value).contains("a");
        assertThat(put("k", "b", "?expect=0").status()).isEqualTo(409);
    }

    @Test
    void losesAboutTheShareOfAnswersAskedFor() {
        Http.post(kv.address(), "/v1/faults", "{\"lose_write_answer_rate\":1}");
        assertThatThrownBy(() -> put("k", "a", "")).isInstanceOf(UncheckedIOException.class);
        assertThat(kv.peek("k")).isPresent();
    }

    @Test
    void watchWakesUponAChangeAndStaysEmptyAtTheEndOfItsWait() {
        CompletableFuture<Http.Answer> watch = watch(0, 20_000);
        Until.isTrue(() -> kv.stats().watches() == 1);
        put("config%2Fa", "1", "");
        JsonNode news = watch.join().body();
        assertThat(news.at("/events/0/key").asText()).isEqualTo("config/a");
        assertThat(news.get("gap").asBoolean()).isFalse();
        JsonNode none = watch(1, 20).join().body();
        assertThat(none.get("events")).isEmpty();
        assertThat(none.get("service_revision").asLong()).isEqualTo(1);
    }

    @Test
    void watchTellsOfADeletionWithANullValue() {
        put("config%2Fa", "1", "");
        Http.delete(kv.address(), "/v1/kv/config%2Fa");
        JsonNode news = watch(1, 0).join().body();
        assertThat(news.at("/events/0/value").isNull()).isTrue();
    }

    @Test
    void watchSaysThatItsHistoryHasAGap() throws IOException {
        kv.close();
        start(new KvSettings(0, false, 0, 0, 2));
        for (int i = 0; i < 4; i++) {
            put("config%2Fa", "" + i, "");
        }
        assertThat(watch(1, 0).join().body().get("gap").asBoolean()).isTrue();
        assertThat(watch(2, 0).join().body().get("events")).hasSize(2);
    }

    @Test
    void forgottenHistoryGivesOneGapAndNoLoop() {
        put("config%2Fa", "1", "");
        CompletableFuture<Http.Answer> watch = watch(1, 20_000);
        Until.isTrue(() -> kv.stats().watches() == 1);
        put("other", "2", "");
        Http.post(kv.address(), "/v1/faults", "{\"watch_gap\":true}");
        JsonNode gap = watch.join().body();
        assertThat(gap.get("gap").asBoolean()).isTrue();
        JsonNode next = watch(gap.get("service_revision").asLong(), 10).join().body();
        assertThat(next.get("gap").asBoolean()).isFalse();
    }

    @Test
    void keyGoesWhenItsLeaseIsNotRenewed() {
        String lease = Http.post(kv.address(), "/v1/leases?ttl_ms=50", "")
                .body()
                .get("lease")
                .asText();
        assertThat(put("held", "me", "?expect=0&lease=" + lease).status()).isEqualTo(200);
        Until.isTrue(() -> kv.peek("held").isEmpty());
        assertThat(Http.post(kv.address(), "/v1/leases/" + lease + "/renew", "").status())
                .isEqualTo(404);
        assertThat(put("held", "me", "?lease=" + lease).status()).isEqualTo(404);
    }

    @Test
    void keyGoesWhenItsLeaseIsEnded() {
        String lease = Http.post(kv.address(), "/v1/leases?ttl_ms=60000", "")
                .body()
                .get("lease")
                .asText();
        put("held", "me", "?lease=" + lease);
        assertThat(Http.post(kv.address(), "/v1/leases/" + lease + "/renew", "").status())
                .isEqualTo(200);
        assertThat(Http.delete(kv.address(), "/v1/leases/" + lease).status()).isEqualTo(200);
        assertThat(kv.peek("held")).isEmpty();
    }

    @Test
    void outageDropsWaitingWatchesAndRefusesCalls() {
        CompletableFuture<Http.Answer> watch = watch(0, 20_000);
        Until.isTrue(() -> kv.stats().watches() == 1);
        Http.post(kv.address(), "/v1/faults", "{\"outage\":true}");
        assertThat(watch.handle((answer, e) -> e).join()).isNotNull();
        assertThatThrownBy(() -> put("k", "a", "")).isInstanceOf(UncheckedIOException.class);
        Http.post(kv.address(), "/v1/faults", "{\"outage\":true,\"mode\":\"error\"}");
        assertThat(put("k", "a", "").status()).isEqualTo(503);
        Http.post(kv.address(), "/v1/faults", "{}");
        assertThat(kv.peek("k")).isEmpty();
        assertThat(put("k", "a", "").status()).isEqualTo(200);
    }

    @Test
    void hangingServiceAnswersNothingAndTakesNoEffect() {
        Http.post(kv.address(), "/v1/faults", "{\"outage\":true,\"mode\":\"hang\"}");
        HttpRequest.Builder put = Http.request(kv.address(), "/v1/kv/k")
                .timeout(Duration.ofMillis(100))
                .PUT(HttpRequest.BodyPublishers.ofString("a"));
        assertThatThrownBy(() -> Http.send(put)).isInstanceOf(UncheckedIOException.class);
        assertThat(kv.peek("k")).isEmpty();
    }

    @Test
    void limitsTheRateAndCountsEveryCall() throws IOException {
        kv.close();
        start(new KvSettings(0, false, 1, 0, 0));
        assertThat(put("k", "a", "").status()).isEqualTo(200);
        List<Integer> statuses = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            Http.Answer answer = put("k", "b", "");
            statuses.add(answer.status());
            if (answer.status() == 429) {
                assertThat(answer.header("Retry-After")).isNotEmpty();
            }
        }
        assertThat(statuses).contains(429);
        JsonNode stats = Http.get(kv.address(), "/v1/stats").body();
        assertThat(stats.get("writes").asInt()).isEqualTo(6);
        assertThat(stats.get("limited").asInt()).isPositive();
    }
}
