package org.fuchsiadeck.core.request;

import java.util.List;
import java.util.Map;

import org.fuchsiadeck.core.Effect;
import org.fuchsiadeck.core.EventCode;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.fuchsiadeck.core.request.Harness.DRAFT;

/** Guards against losses of attempts whose log lines cannot be compared with each other. */
class LostAttemptsTest {
    private final Harness node = new Harness();

    @Test
    void namesServerProgressAndPromptPartsOfALostAttempt() {
        node.listBackends(Harness.engine("e1", "v1"));
        node.arrive("r", DRAFT);
        node.startWriting("r", 1);
        Map<String, Object> line = lostLines(node.failAttempt("r", 1, Failure.Step.AWAITING, Failure.Kind.CLOSED))
                .get(0);
        assertThat(line.get("server")).hasToString("e1");
        assertThat(line.get("step")).isEqualTo(Failure.Step.AWAITING);
        assertThat(line.get("tokens")).isEqualTo(0);
        assertThat(line.get("parts")).isEqualTo(List.of("1", "2"));
    }

    @Test
    void logsNoLossForAnAttemptThatWasNotWritten() {
        node.listBackends(Harness.engine("e1", "v1"));
        node.arrive("r", DRAFT);
        assertThat(lostLines(node.failAttempt("r", 1, Failure.Step.CONNECTING, Failure.Kind.CLOSED)))
                .isEmpty();
    }

    private static List<Map<String, Object>> lostLines(List<Effect> effects) {
        return Harness.effectsOfType(effects, Effect.Log.class).stream()
                .filter(l -> l.code() == EventCode.ATTEMPT_LOST)
                .map(Effect.Log::fields)
                .toList();
    }
}
