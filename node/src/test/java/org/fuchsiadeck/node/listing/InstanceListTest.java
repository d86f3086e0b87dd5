package org.fuchsiadeck.node.listing;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

import com.codahale.metrics.MetricRegistry;
import org.fuchsiadeck.core.Event;
import org.fuchsiadeck.core.platform.PlatformEvent;
import org.fuchsiadeck.node.client.HttpClient;
import org.fuchsiadeck.node.testing.Await;
import org.fuchsiadeck.node.testing.FakeServer;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class InstanceListTest {
    private static final String BACKEND = "{\"id\":\"%s\",\"address\":\"%s\",\"zone\":\"sur\",\"kind\":\"ENGINE\","
            + "\"service\":\"s\",\"version\":\"v\",\"models\":[\"m\"],\"adapters\":[],\"roles\":[],\"slots\":4,"
            + "\"price_per_hour\":0.1,\"reclaimable\":true,\"leaving\":true}";

    private final List<Event> events = new CopyOnWriteArrayList<>();
    private volatile String body;
    private volatile int status = 200;

    @Test
    void postsReadingsAndEachNoticeOnceAndRidesOutFailures() throws Exception {
        try (FakeServer server = new FakeServer((m, s) -> FakeServer.plain(m, s, status, body));
                HttpClient client = HttpClient.start()) {
            InstanceList list = new InstanceList(client, server.address(), events::add, new MetricRegistry());
            body = list("{\"instance\":\"a\",\"notice_ms\":900}");
            poll(list, 1);
            poll(list, 2);
            poll(list, 3);
            assertThat(notices()).containsExactly(new PlatformEvent.ReclaimNoticed("a", 900));
            assertThat(readings().get(0).backends()).singleElement().satisfies(b -> {
                assertThat(b.id().value()).isEqualTo("good");
                assertThat(b.leaving()).isTrue();
            });
            assertThat(readings().get(0).nodes()).hasSize(1);
            status = 503;
            int calls = server.received.size();
            Await.until("a failing call", () -> {
                list.poll();
                return server.received.size() > calls;
            });
            status = 200;
            body = list("");
            poll(list, 4);
            body = list("{\"instance\":\"a\",\"notice_ms\":500}");
            poll(list, 5);
            Await.until("the later notice", () -> notices().size() == 2);
        }
    }

    private void poll(InstanceList list, int reading) throws Exception {
        Await.until("reading " + reading, () -> {
            if (readings().size() < reading) {
                list.poll();
            }
            return readings().size() >= reading;
        });
    }

    private static String list(String notices) {
        return "{\"backends\":[" + String.format(BACKEND, "good", "127.0.0.1:9") + ","
                + String.format(BACKEND, "bad", "nowhere") + "],"
                + "\"nodes\":[{\"id\":\"n\",\"address\":\"127.0.0.1:8\",\"zone\":\"sur\"}],\"notices\":[" + notices
                + "]}";
    }

    private List<PlatformEvent.Listed> readings() {
        return only(PlatformEvent.Listed.class);
    }

    private List<PlatformEvent.ReclaimNoticed> notices() {
        return only(PlatformEvent.ReclaimNoticed.class);
    }

    private <E> List<E> only(Class<E> type) {
        return events.stream().filter(type::isInstance).map(type::cast).toList();
    }
}
