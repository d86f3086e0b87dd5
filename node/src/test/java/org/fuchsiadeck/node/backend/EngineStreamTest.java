package org.fuchsiadeck.node.backend;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

import org.fuchsiadeck.core.model.BackendReport;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.memory.MemoryManager;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/**
 * Guards against events of an engine's stream that are lost or garbled because a read ends inside an event or a
 * character, and against unlimited buffering of an event without an end. Also tests parsing of the load header.
 */
class EngineStreamTest {
    private static final String STREAM = ": hello\n\ndata: {\"i\":0,\"t\":\"রহিম \"}\r\n\r\n"
            + "event: x\ndata:{\"t\":\"\\n\\n\",\"i\":1}\n\ndata: {\"done\":true,\"tokens\":2}\n\n";

    @Test
    void parsesTheSameEventsForEverySplitOfTheBytes() throws Exception {
        byte[] bytes = STREAM.getBytes(StandardCharsets.UTF_8);
        for (int cut = 0; cut <= bytes.length; cut++) {
            List<String> texts = new ArrayList<>();
            List<Integer> ends = new ArrayList<>();
            StreamSink sink = new StreamSink(t -> texts.add(t.text()), e -> ends.add(e.deliveredTokens()), e -> {});
            EngineStreamReader reader = new EngineStreamReader(0, sink);
            feed(reader, Arrays.copyOfRange(bytes, 0, cut));
            feed(reader, Arrays.copyOfRange(bytes, cut, bytes.length));
            reader.onEnd();
            assertThat(texts).containsExactly("রহিম ", "\n\n");
            assertThat(ends).containsExactly(2);
        }
    }

    @Test
    void rejectsAnEventThatDoesNotEnd() {
        EngineStreamReader reader = new EngineStreamReader(0, new StreamSink(t -> {}, e -> {}, e -> {}));
        assertThatThrownBy(() -> feed(reader, "x".repeat(100_000).getBytes(StandardCharsets.UTF_8)))
                .isInstanceOf(BadAnswerException.class);
    }

    @Test
    void readsTheReportedLoad() {
        assertThat(LoadHeader.parse("running=2; queued=0;age_ms=7;leaving=0"))
                .contains(new BackendReport(2, 0, 7, false));
        assertThat(LoadHeader.parse("running=x;queued=0;age_ms=7;leaving=0")).isEmpty();
        assertThat(LoadHeader.parse("fast")).isEmpty();
    }

    private static void feed(EngineStreamReader reader, byte[] part) throws BadAnswerException {
        reader.onBody(Buffers.wrap(MemoryManager.DEFAULT_MEMORY_MANAGER, part));
    }
}
