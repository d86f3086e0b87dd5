package org.fuchsiadeck.scenarios;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.fuchsiadeck.testbed.TestbedSpec;
import org.fuchsiadeck.testbed.engine.Tokens;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ThinPathTest {
    @Test
    void servesEntriesAndStreamsThroughThreeProcesses() throws IOException {
        String configuration = Files.readString(Path.of("../examples/howrah.toml"));
        try (Deployment howrah = Deployment.start(TestbedSpec.howrah(), configuration, 3)) {
            for (int node = 0; node < 3; node++) {
                String entry = "child-" + node;
                Caller.Answer answer = howrah.caller(node, "ward-12")
                        .post("/registers/school-1/entries", "{\"entry\":\"" + entry + "\"}", Optional.of(entry));
                assertThat(answer.status()).as(answer.body()).isEqualTo(201);
                assertThat(howrah.testbed().entryRuns()).containsEntry(entry, 1);
            }
            Caller.Streamed notice = howrah.caller(1, "ward-12").stream(
                            "/assistant/notice", Prompts.notice("বাবা মা কে জানান", 24))
                    .join();
            List<String> tokens = new ArrayList<>();
            for (int i = 0; i < 24; i++) {
                tokens.add(Tokens.token("v1", "বাবা মা কে জানান", i));
            }
            assertThat(Prompts.text(notice)).isEqualTo(String.join("", tokens));
        }
    }
}
