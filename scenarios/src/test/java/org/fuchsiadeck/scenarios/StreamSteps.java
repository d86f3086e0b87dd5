package org.fuchsiadeck.scenarios;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;

import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import org.fuchsiadeck.testbed.engine.Tokens;

import static org.assertj.core.api.Assertions.assertThat;

/** Steps about streams and about stopping while they are open. */
public final class StreamSteps {
    private static final int TOKENS = 200;

    @When("headmistresses have begun to read {int} notices through node {int}")
    public void read(int count, int node) {
        World world = World.current();
        AtomicInteger begun = new AtomicInteger();
        for (int i = 0; i < count; i++) {
            String body = Prompts.notice("notice " + i, TOKENS);
            world.streams.add(world.caller(node).stream(World.NOTICE, body, n -> {
                if (n == 1) {
                    begun.incrementAndGet();
                }
            }));
        }
        Waiting.until("all notices have begun", () -> begun.get() == count);
    }

    @Then("every notice is whole")
    public void whole() {
        var streams = World.current().streams;
        for (int i = 0; i < streams.size(); i++) {
            assertThat(Prompts.text(streams.get(i).join())).isEqualTo(Tokens.text("v1", "notice " + i, TOKENS));
        }
    }

    @Then("no notice has ended yet")
    public void open() {
        assertThat(World.current().streams).noneMatch(CompletableFuture::isDone);
    }

    @Then("node {int} says at once that it is not ready")
    public void notReady(int node) {
        Waiting.until("the node is not ready", () -> !World.current().node(node).ready());
    }

    @Then("node {int} ends with exit code {int}")
    public void ends(int node, int code) {
        assertThat(World.current().node(node).awaitExit()).isEqualTo(code);
    }
}
