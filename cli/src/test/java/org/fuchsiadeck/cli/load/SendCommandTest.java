package org.fuchsiadeck.cli.load;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.util.Map;

import org.fuchsiadeck.cli.CommandLine;
import org.fuchsiadeck.cli.Console;
import org.fuchsiadeck.cli.ExitCode;
import org.fuchsiadeck.testbed.BackendSpec;
import org.fuchsiadeck.testbed.Testbed;
import org.fuchsiadeck.testbed.TestbedSpec;
import org.fuchsiadeck.testbed.app.AppFault;
import org.fuchsiadeck.testbed.app.AppFaults;
import org.fuchsiadeck.testbed.app.AppSettings;
import org.fuchsiadeck.testbed.engine.CostModel;
import org.fuchsiadeck.testbed.engine.EngineSettings;
import org.fuchsiadeck.testbed.engine.Tokens;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

class SendCommandTest {
    private static final String PROMPT = "{\"model\":\"m\",\"prompt\":\"বাবা মা\",\"max_tokens\":9}";

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private Testbed testbed;

    @BeforeEach
    void start() throws IOException {
        EngineSettings engine = EngineSettings.with(CostModel.free());
        testbed = Testbed.start(TestbedSpec.of(
                BackendSpec.app("app", "sur", "visits", "v1", AppSettings.defaults()),
                BackendSpec.engine("engine", "sur", "drafting", "v1", "m", engine)));
    }

    @AfterEach
    void stop() {
        testbed.close();
    }

    @Test
    void writesOutcomeStatusAndAnswer() {
        ExitCode code = send("app", "/bookings", "--team", "crews", "--key", "b-1", "--body", "{\"entry\":\"b-1\"}");
        assertThat(code).isEqualTo(ExitCode.DONE);
        assertThat(text()).startsWith("answered 201\n").contains("\"entry\":\"b-1\"");
        assertThat(testbed.entryRuns()).containsEntry("b-1", 1);
    }

    @Test
    void joinsTheTokensOfAStream() {
        ExitCode code = send("engine", "/v1/completions", "--stream", "--body", PROMPT);
        assertThat(code).isEqualTo(ExitCode.DONE);
        assertThat(text()).isEqualTo("answered 200\n" + Tokens.text("v1", "বাবা মা", 9) + "\n");
    }

    @Test
    void cutAnswerLeavesTheOutcomeUnknown() {
        testbed.app("app").faults(AppFaults.of(AppFault.close(AppFault.Step.MID_ANSWER, 1)));
        assertThat(send("app", "/bookings", "--body", "{}")).isEqualTo(ExitCode.OUTCOME_UNKNOWN);
        assertThat(text()).startsWith("unknown ");
    }

    @Test
    void refusedConnectionWasNotRun() {
        testbed.stop("app");
        assertThat(send("app", "/bookings", "--body", "{}")).isEqualTo(ExitCode.FAILED);
        assertThat(text()).startsWith("not-run 0\n");
    }

    @Test
    void streamNeedsAnObject() {
        assertThat(send("engine", "/v1/completions", "--stream", "--body", "[]"))
                .isEqualTo(ExitCode.WRONG_USE);
    }

    private ExitCode send(String server, String path, String... more) {
        String[] args = new String[5 + more.length];
        System.arraycopy(new String[] {"send", "--to", testbed.address(server), "--path", path}, 0, args, 0, 5);
        System.arraycopy(more, 0, args, 5, more.length);
        Console console = new Console(new PrintStream(out, true, UTF_8), System.err, name -> null);
        return new CommandLine(Map.of("send", new SendCommand())).run(console, args);
    }

    private String text() {
        return out.toString(UTF_8);
    }
}
