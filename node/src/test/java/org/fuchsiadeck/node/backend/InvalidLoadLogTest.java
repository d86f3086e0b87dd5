package org.fuchsiadeck.node.backend;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import com.codahale.metrics.MetricRegistry;
import org.fuchsiadeck.core.Effect;
import org.fuchsiadeck.core.EventCode;
import org.fuchsiadeck.core.model.Address;
import org.fuchsiadeck.core.model.Backend;
import org.fuchsiadeck.core.model.BackendId;
import org.fuchsiadeck.core.model.RequestId;
import org.fuchsiadeck.core.model.Zone;
import org.fuchsiadeck.core.request.RequestEffect;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against a log that a server with invalid load headers fills: it sends one with each answer. */
class InvalidLoadLogTest {
    @Test
    void countsEachInvalidHeaderAndLogsFew() {
        List<Effect.Log> logged = new ArrayList<>();
        MetricRegistry metrics = new MetricRegistry();
        AttemptResources resources =
                new AttemptResources(new StandardBackendProtocol(), e -> {}, logged::add, metrics, 1, id -> false);
        Backend backend = new Backend(
                new BackendId("a"),
                new Address("127.0.0.1", 1),
                new Zone("z"),
                Backend.Kind.APPLICATION,
                "s",
                "v1",
                Set.of(),
                Set.of(),
                Set.of(),
                1,
                1,
                false,
                false);
        RequestEffect.Dispatch dispatch =
                new RequestEffect.Dispatch(new RequestId("r"), 1, backend, 0, 1_000, Optional.empty());
        for (int i = 0; i < 1_000; i++) {
            resources.countInvalidLoad(dispatch, "x".repeat(10_000));
        }
        assertThat(metrics.counter("backend.invalid_loads").getCount()).isEqualTo(1_000);
        assertThat(logged).hasSizeBetween(1, 2).allSatisfy(l -> {
            assertThat(l.code()).isEqualTo(EventCode.BACKEND_BAD_LOAD);
            assertThat(l.fields().get("seen").toString().length()).isLessThan(100);
        });
    }
}
