package org.fuchsiadeck.cli.config;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.OptionalLong;

import org.fuchsiadeck.cli.CliRun;
import org.fuchsiadeck.cli.ExitCode;
import org.fuchsiadeck.cli.FakeStore;
import org.fuchsiadeck.cli.FakeStore.Fault;
import org.fuchsiadeck.node.config.Envelope;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

class ConfigCommandsTest {
    private static final String KEY = "config/current";

    @TempDir
    Path dir;

    private final FakeStore store = new FakeStore();

    private CliRun apply(String text, String... more) throws IOException {
        Path file = Files.writeString(dir.resolve("c.toml"), text);
        String[] first = {"config", "apply", file.toString(), "--reason", "why", "--patience-ms", "20"};
        String[] args = new String[first.length + more.length];
        System.arraycopy(first, 0, args, 0, first.length);
        System.arraycopy(more, 0, args, first.length, more.length);
        return CliRun.run(store, args);
    }

    private static String weight(int w) {
        return "[defaults]\nweight = " + w + "\n";
    }

    private Envelope current() {
        return Envelope.parse(store.entries.get(KEY).value().get()).get();
    }

    /** Another operator's change, accepted over whatever is there. */
    private void other(int weight) {
        long base = store.entries.containsKey(KEY) ? store.entries.get(KEY).revision() : 0;
        Envelope before = base == 0 ? null : current();
        Envelope next = new Envelope(
                "other-" + base,
                "bimal",
                "theirs",
                1,
                weight(weight),
                before == null ? java.util.List.of() : before.changes(base));
        store.swap(KEY, next.toJson(), OptionalLong.of(base));
    }

    @Test
    void acceptsAFirstConfiguration() throws IOException {
        CliRun run = apply(weight(1));
        assertThat(run.code()).isEqualTo(ExitCode.DONE);
        assertThat(run.out()).contains("accepted", "1");
        assertThat(current().operator()).isEqualTo("asha");
        assertThat(store.closed).isEqualTo(1);
    }

    @Test
    void editOfWhatShowWroteIsAccepted() throws IOException {
        apply(weight(1));
        String shown = CliRun.run(store, "config", "show").out();
        assertThat(shown).isEqualTo("# fuchsiadeck revision 1\n" + weight(1));
        assertThat(apply(shown.replace("weight = 1", "weight = 2")).code()).isEqualTo(ExitCode.DONE);
        assertThat(current().text()).isEqualTo(weight(2));
        assertThat(current().history()).extracting(Envelope.Change::revision).containsExactly(1L);
    }

    @Test
    void invalidFileEndsWithOneAndNamesThePlace() throws IOException {
        CliRun run = apply("# fuchsiadeck revision 1\n" + weight(0));
        assertThat(run.code()).isEqualTo(ExitCode.FAILED);
        assertThat(run.err()).contains("c.toml:3:1: weight must be from 1 to 10000, was 0");
        assertThat(store.entries).isEmpty();
    }

    @Test
    void refusesToReplaceWithoutABase() throws IOException {
        apply(weight(1));
        assertThat(apply(weight(2)).code()).isEqualTo(ExitCode.WRONG_USE);
        assertThat(apply(weight(2), "--base", "current").code()).isEqualTo(ExitCode.DONE);
    }

    @Test
    void losingOperatorSeesTheOtherChange() throws IOException {
        apply(weight(1));
        store.beforeWrite = () -> other(7);
        CliRun run = apply(weight(2), "--base", "1");
        assertThat(run.code()).isEqualTo(ExitCode.FAILED);
        assertThat(run.err())
                .contains("made from revision 1, but bimal had revision")
                .hasLineCount(1);
        assertThat(run.out()).containsPattern("defaults.weight +1 +7");
        assertThat(current().text()).isEqualTo(weight(7));
    }

    @Test
    void staleBaseIsAConflict() throws IOException {
        apply(weight(1));
        other(7);
        assertThat(apply(weight(2), "--base", "1").code()).isEqualTo(ExitCode.FAILED);
        assertThat(current().text()).isEqualTo(weight(7));
    }

    @Test
    void lostAnswerIsSettledByReadingBack() throws IOException {
        store.writes.add(Fault.LOST_ANSWER);
        CliRun run = apply(weight(1), "--output", "json");
        assertThat(run.code()).isEqualTo(ExitCode.DONE);
        assertThat(run.out()).contains("\"revision\" : 1");
    }

    @Test
    void lostAnswerIsSettledThoughAnotherChangeFollowed() throws IOException {
        apply(weight(1));
        store.writes.add(Fault.LOST_ANSWER);
        store.reads.add(Fault.NONE);
        store.reads.add(Fault.NONE);
        store.reads.add(Fault.LOST_ANSWER);
        store.beforeWrite = () -> store.beforeWrite = () -> other(7);
        CliRun run = apply(weight(2), "--base", "1");
        assertThat(run.code()).isEqualTo(ExitCode.DONE);
        assertThat(run.out()).containsPattern("revision +3");
        assertThat(current().text()).isEqualTo(weight(7));
    }

    @Test
    void lostRequestIsWrittenAgain() throws IOException {
        store.writes.add(Fault.LOST_REQUEST);
        assertThat(apply(weight(1)).code()).isEqualTo(ExitCode.DONE);
    }

    @Test
    void lostRequestThatLosesToAnotherIsAConflict() throws IOException {
        apply(weight(1));
        store.writes.add(Fault.LOST_REQUEST);
        store.beforeWrite = () -> other(7);
        assertThat(apply(weight(2), "--base", "1").code()).isEqualTo(ExitCode.FAILED);
    }

    @Test
    void outcomeThatStaysUnknownEndsWithThree() throws IOException {
        store.reads.add(Fault.NONE);
        store.reads.add(Fault.NONE);
        store.afterwards = Fault.LOST_REQUEST;
        CliRun run = apply(weight(1));
        assertThat(run.code()).isEqualTo(ExitCode.OUTCOME_UNKNOWN);
        assertThat(run.err()).contains("look for write id").hasLineCount(1);
    }

    @Test
    void unreachableServiceEndsWithOne() throws IOException {
        store.reads.add(Fault.NONE);
        store.reads.add(Fault.NONE);
        store.afterwards = Fault.NOT_SENT;
        assertThat(apply(weight(1)).code()).isEqualTo(ExitCode.FAILED);
        assertThat(apply(weight(1)).code()).isEqualTo(ExitCode.FAILED);
    }

    @Test
    void refusesAValueThatTheServiceCannotHold() throws IOException {
        String comment = "#" + "x".repeat(1 << 20) + "\n";
        CliRun run = apply(comment + weight(1));
        assertThat(run.code()).isEqualTo(ExitCode.FAILED);
        assertThat(run.err()).contains("more than the 1048576");
    }

    @Test
    void keepsTheReplacedConfigurationsOfItsHistory() throws IOException {
        for (int w = 1; w <= Envelope.HISTORY_LENGTH + 3; w++) {
            assertThat(apply(weight(w), "--base", "current").code()).isEqualTo(ExitCode.DONE);
        }
        assertThat(current().history())
                .hasSize(Envelope.HISTORY_LENGTH)
                .allSatisfy(c -> assertThat(store.entries).containsKey("config/history/" + c.revision()));
        assertThat(store.entries).hasSize(Envelope.HISTORY_LENGTH + 1);
    }

    @Test
    void dryRunWritesNothing() throws IOException {
        apply(weight(1));
        CliRun run = apply(weight(5), "--dry-run");
        assertThat(run.code()).isEqualTo(ExitCode.DONE);
        assertThat(run.out()).containsPattern("defaults.weight +1 +5");
        assertThat(current().text()).isEqualTo(weight(1));
    }

    @Test
    void showsEarlierRevisionsAndTheirDifferences() throws IOException {
        apply(weight(1));
        apply(weight(2), "--base", "current");
        assertThat(CliRun.run(store, "config", "show", "--revision", "1").out()).contains("weight = 1");
        assertThat(CliRun.run(store, "config", "diff", "--from", "1", "--to", "3")
                        .out())
                .containsPattern("defaults.weight +1 +2");
        assertThat(CliRun.run(store, "config", "history", "--output", "json").out())
                .contains("\"revision\" : 1", "\"revision\" : 3", "\"reason\" : \"why\"");
        assertThat(CliRun.run(store, "config", "show", "--revision", "9").code())
                .isEqualTo(ExitCode.FAILED);
    }

    @Test
    void explainsTheValuesOfAFile() {
        CliRun run = CliRun.run(
                store,
                "config",
                "explain",
                "../examples/howrah.toml",
                "--zone",
                "dumdum",
                "--at",
                "2027-02-01T00:00:00Z");
        assertThat(run.code()).isEqualTo(ExitCode.DONE);
        assertThat(run.out())
                .containsPattern("connect_timeout_ms +300 +defaults .*exception 1 at 2027-01-31T00:00:00Z");
    }

    @Test
    void unusableValueCanBeSeenAndReplaced() throws IOException {
        store.swap(KEY, "not an envelope", OptionalLong.empty());
        assertThat(CliRun.run(store, "config", "show").out()).contains("not an envelope");
        assertThat(apply(weight(1), "--base", "current").code()).isEqualTo(ExitCode.DONE);
    }
}
