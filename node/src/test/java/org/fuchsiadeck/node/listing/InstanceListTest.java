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

    private static final String NOTICE = "{\"instance\":\"a\",\"notice_ms\":900}";

    private final List<Event> events = new CopyOnWriteArrayList<>();
    private volatile String body;
    private volatile int status = 200;

    @Test
    void postsReadingsAndEachNoticeOnceAndRidesOutFailures() throws Exception {
        try (FakeServer server = new FakeServer((m, s) -> FakeServer.plain(m, s, status, body));
                HttpClient client = HttpClient.start()) {
            InstanceList list = new InstanceList(client, server.address(), events::add, new MetricRegistry());
            read(list, "first", NOTICE);
            read(list, "second", NOTICE);
            status = 503;
            int calls = server.received.size();
            Await.until("a failing call", () -> {
                list.poll();
                return server.received.size() > calls;
            });
            status = 200;
            read(list, "third", "");
            assertThat(notices()).containsExactly(new PlatformEvent.ReclaimNoticed("a", 900));
            assertThat(readings().get(0).backends()).singleElement().satisfies(b -> {
                assertThat(b.id().value()).isEqualTo("good");
                assertThat(b.leaving()).isTrue();
            });
            read(list, "fourth", NOTICE);
            Await.until("the later notice", () -> notices().size() == 2);
        }
    }

    private void read(InstanceList list, String node, String notices) throws Exception {
        body = "{\"backends\":[" + String.format(BACKEND, "good", "127.0.0.1:9") + ","
                + String.format(BACKEND, "bad", "nowhere") + "],\"nodes\":[{\"id\":\"" + node
                + "\",\"address\":\"127.0.0.1:8\",\"zone\":\"sur\"}],\"notices\":[" + notices + "]}";
        Await.until("a reading with the node " + node, () -> {
            list.poll();
            return readings().stream()
                    .anyMatch(r -> r.nodes().get(0).id().value().equals(node));
        });
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
