package org.fuchsiadeck.scenarios;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;

import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;

import static org.assertj.core.api.Assertions.assertThat;

/** Steps about backend servers that leave. */
public final class LeavingSteps {
    private static final int READS = 40;

    private final Map<String, Integer> before = new HashMap<>();

    @When("all nodes have had an answer of {word} since")
    public void allHeard(String backend) {
        for (int node = 1; node <= World.current().deployment.nodes().size(); node++) {
            heard(node, backend);
        }
    }

    @When("node {int} has had an answer of {word} since")
    public void heard(int node, String backend) {
        World world = World.current();
        Waiting.until("node " + node + " knows that " + backend + " leaves", () -> {
            // Many at a time, so that some go to servers in other zones too.
            Stream.generate(() -> world.caller(node).getLater("/registers/school-1/entries"))
                    .limit(READS)
                    .toList()
                    .forEach(CompletableFuture::join);
            return world.node(node).departures().contains(backend);
        });
    }

    @When("all nodes know that {word} leaves")
    public void allKnow(String backend) {
        Waiting.until(
                "all nodes know that " + backend + " leaves",
                () -> World.current().deployment.live().stream()
                        .allMatch(n -> n.departures().contains(backend)));
    }

    @When("nothing more is in progress at {word}")
    public void idle(String backend) {
        var app = World.current().deployment.testbed().app(backend);
        Waiting.until(backend + " is idle", () -> app.running() == 0);
        before.put(backend, runs(backend));
    }

    @Then("{word} has got no new work")
    public void noNewWork(String backend) {
        World.current().deployment.runs();
        assertThat(runs(backend)).isEqualTo(before.get(backend));
    }

    @Then("the other registers have got all {int} entries")
    public void othersWorked(int count) {
        World world = World.current();
        long good = world.entries.names().stream()
                .filter(e -> world.entries.of(e).stream().anyMatch(Caller.Answer::good))
                .count();
        assertThat(good).isEqualTo(count);
    }

    private static int runs(String backend) {
        return World.current().deployment.testbed().app(backend).audit().runs().values().stream()
                .mapToInt(Integer::intValue)
                .sum();
    }
}
