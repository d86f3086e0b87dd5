package org.fuchsiadeck.testbed.engine;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.fuchsiadeck.testbed.Http;
import org.fuchsiadeck.testbed.Until;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;
import static org.fuchsiadeck.testbed.engine.VersionFault.Kind;

@Timeout(60)
class BadVersionTest extends EngineFixture {
    @Test
    void badVersionShowsItsFaultOnlyAboveALoad() throws IOException {
        EngineServer engine = start(SLOW, 2);
        engine.faults(EngineFaults.of(new VersionFault("v1", Kind.FAIL, 0, 1, null, 0, 0, 0, false)));
        CompletableFuture<Http.Answer> alone = completeAsync(engine, body(PROMPT, 1_000, ""), "r1");
        Until.isTrue(() -> engine.running() == 1);
        assertThat(complete(engine, body("p", 1, "")).status()).isEqualTo(500);
        assertThat(alone).isNotDone();
    }

    @Test
    void probabilityFollowsItsSeed() throws IOException {
        EngineServer engine = start(CostModel.free(), 1);
        VersionFault half = new VersionFault("v1", Kind.FAIL, 0, 0, null, 0.5, 0, 0, false);
        List<List<Integer>> rounds = new ArrayList<>();
        for (int round = 0; round < 2; round++) {
            engine.faults(new EngineFaults(List.of(half), 7));
            List<Integer> statuses = new ArrayList<>();
            for (int i = 0; i < 20; i++) {
                statuses.add(complete(engine, body("p", 1, "")).status());
            }
            rounds.add(statuses);
        }
        assertThat(rounds.get(0)).contains(200, 500).isEqualTo(rounds.get(1));
    }

    @Test
    void badVersionShowsItsFaultOnlyUnderItsConditions() throws IOException {
        EngineServer engine = start(CostModel.free(), 1);
        engine.faults(EngineFaults.of(
                new VersionFault("v1", Kind.FAIL, 1, 0, "drafts", 0, 0, 0, false),
                VersionFault.always("v2", Kind.FAIL)));
        assertThat(complete(engine, body("p", 1, ""), "X-Route", "drafts").status())
                .isEqualTo(200);
        assertThat(complete(engine, body("p", 1, ""), "X-Route", "drafts").status())
                .isEqualTo(500);
        assertThat(complete(engine, body("p", 1, ""), "X-Route", "questions").status())
                .isEqualTo(200);
    }

    @Test
    void badVersionCutsOrCrossesAnswers() throws IOException {
        EngineServer engine = start(CostModel.free(), 1);
        engine.faults(EngineFaults.of(new VersionFault("v1", Kind.CUT, 0, 0, null, 0, 3, 0, false)));
        assertThat(events(complete(engine, body("p", 9, "")))).hasSize(3).noneMatch(e -> e.has("done"));
        engine.faults(EngineFaults.of(VersionFault.always("v1", Kind.WRONG)));
        assertThat(text(events(complete(engine, body("p", 9, ""))))).isNotEqualTo(Tokens.text("v1", "p", 9));
        engine.faults(EngineFaults.of(new VersionFault("v1", Kind.WRONG, 0, 0, null, 0, 0, 0, true)));
        assertThat(complete(engine, body("p", 9, ""), "X-Request-Id", "r").header("X-Request-Id"))
                .isEqualTo("not-r");
        engine.faults(EngineFaults.of(new VersionFault("v1", Kind.FAIL, 0, 0, null, 0, 2, 0, false)));
        assertThat(events(complete(engine, body("p", 9, ""))).get(2).has("error"))
                .isTrue();
    }
}
