package org.fuchsiadeck.scenarios;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import org.fuchsiadeck.scenarios.Caller.Answer;

import static org.assertj.core.api.Assertions.assertThat;

/** Steps in which teachers send meal entries with an idempotency key. */
public final class EntrySteps {
    private static final int TEACHERS = 6;
    private static final int ENTRIES_EACH = 400;
    private static final int SHOWN = 3;

    private Teachers teachers;

    @When("a teacher sends the entry {word} to node {int}")
    public void send(String entry, int node) {
        World.current().enter(node, entry);
    }

    @When("a teacher sends the entry {word} to node {int} until it is accepted")
    public void sendUntilAccepted(String entry, int node) {
        Waiting.until(
                entry + " is accepted",
                () -> World.current().enter(node, entry).join().good());
    }

    @When("the entry {word} is in progress")
    public void inProgress(String entry) {
        Deployment deployment = World.current().deployment;
        Waiting.until(
                entry + " is in progress",
                () -> deployment.apps().stream()
                        .anyMatch(id -> deployment.testbed().app(id).running() > 0));
    }

    @When("all teachers have their answers")
    public void answered() {
        World.current().pending.forEach(CompletableFuture::join);
    }

    @When("teachers begin to send entries to all nodes")
    public void begin() {
        teachers = World.current().teachers(TEACHERS, ENTRIES_EACH);
    }

    @When("{int} more entries are accepted")
    public void accepted(int count) {
        teachers.awaitAccepted(count);
    }

    @When("the teachers stop")
    public void stop() {
        teachers.stop();
    }

    @When("{int} more entries go to node {int}")
    public void sendMany(int count, int node) {
        World world = World.current();
        int before = world.entries.names().size();
        for (int i = before; i < before + count; i++) {
            String entry = "unkeyed-" + i;
            world.entries.add(entry, world.caller(node).enter(entry, Optional.empty()));
        }
    }

    @Then("the entry {word} ran once")
    public void ranOnce(String entry) {
        answered();
        assertThat(World.current().runsOf(entry)).isEqualTo(1);
    }

    @Then("the entry {word} did not run")
    public void didNotRun(String entry) {
        answered();
        assertThat(World.current().runsOf(entry)).isZero();
    }

    @Then("no entry ran twice, and every answer is true")
    public void allTrue() {
        answered();
        World.current().entries.check(World.current().deployment.runs());
    }

    @Then("all answers to the entry {word} but one say that it is a duplicate")
    public void duplicates(String entry) {
        answered();
        var answers = World.current().entries.of(entry);
        assertThat(answers).filteredOn(Answer::good).hasSize(1);
        assertThat(answers).filteredOn(a -> !a.good()).isNotEmpty().allMatch(Answer::duplicate);
    }

    @Then("the last answer to the entry {word} says {string}")
    public void lastSays(String entry, String reason) {
        answered();
        var answers = World.current().entries.of(entry);
        assertThat(answers.get(answers.size() - 1).body()).contains(reason);
    }

    @Then("every answer to the entry {word} says that it was not run")
    public void notRun(String entry) {
        answered();
        assertThat(World.current().entries.of(entry)).isNotEmpty().allMatch(Answer::notRun);
    }

    @Then("every entry was accepted")
    public void allAccepted() {
        answered();
        Entries entries = World.current().entries;
        var others = entries.names().stream()
                .filter(e -> entries.of(e).stream().noneMatch(Answer::good))
                .map(e -> e + " " + entries.of(e))
                .limit(SHOWN);
        assertThat(entries.names()).isNotEmpty();
        assertThat(others).isEmpty();
    }
}
