package org.fuchsiadeck.scenarios;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import org.fuchsiadeck.scenarios.Caller.Answer;
import org.fuchsiadeck.testbed.app.AppFault;
import org.fuchsiadeck.testbed.app.AppFault.Kind;
import org.fuchsiadeck.testbed.app.AppFault.Step;
import org.fuchsiadeck.testbed.app.AppFaults;
import org.fuchsiadeck.testbed.proxy.ProxyFaults;

import static org.assertj.core.api.Assertions.assertThat;

/** Steps in which answers come late, crossed, twice or cut. */
public final class WholeAnswerSteps {
    private static final long SEED = 20_260_412;
    private static final double RATE = 0.15;
    private static final long LATE_MS = 1_800;

    private final Map<String, CompletableFuture<Answer>> reads = new LinkedHashMap<>();

    @Given("answers of the registers come late, crossed, twice or cut now and then")
    public void confuse() {
        List<AppFault> faults = new ArrayList<>();
        for (Kind kind : List.of(Kind.WRONG_ID, Kind.DUPLICATE, Kind.LATE)) {
            faults.add(new AppFault(kind, null, 0, RATE, null, LATE_MS));
        }
        faults.add(new AppFault(Kind.CLOSE, Step.MID_ANSWER, 0, RATE, null, 0));
        Deployment deployment = World.current().deployment;
        for (int i = 0; i < deployment.apps().size(); i++) {
            deployment.testbed().app(deployment.apps().get(i)).faults(new AppFaults(faults, SEED + i));
        }
    }

    @When("{int} callers at a time read registers of their own and send entries of their own, {int} times")
    public void readAndSend(int callers, int times) {
        World world = World.current();
        for (int t = 0; t < times; t++) {
            for (int c = 0; c < callers; c++) {
                int node = c % world.deployment.nodes().size() + 1;
                read(node, "/registers/school-" + t + "-" + c + "/entries");
                world.enter(node, "own-" + t + "-" + c);
            }
            reads.values().forEach(CompletableFuture::join);
            world.pending.forEach(CompletableFuture::join);
        }
    }

    @When("the answers of {word} are held while {int} callers read registers of their own through node {int}")
    public void hold(String backend, int callers, int node) {
        World.current().deployment.proxyFaults(backend, ProxyFaults.holdingAnswers());
        for (int c = 0; c < callers; c++) {
            read(node, "/registers/held-" + c + "/entries");
        }
        reads.values().forEach(CompletableFuture::join);
    }

    @When("the held answers of {word} come while {int} callers read registers of their own through node {int}")
    public void letGo(String backend, int callers, int node) {
        World.current().deployment.proxyFaults(backend, ProxyFaults.none());
        for (int c = 0; c < callers; c++) {
            read(node, "/registers/after-" + c + "/entries");
        }
    }

    @Then("every caller who read got the whole answer to its own request, or an error")
    public void ownOrError() {
        reads.forEach((path, answer) -> assertOwn(path, answer.join()));
        assertThat(reads.values()).anyMatch(a -> a.join().good());
    }

    @Then("every caller who read got the whole answer to its own request")
    public void own() {
        ownOrError();
        assertThat(reads.values()).allMatch(a -> a.join().good());
    }

    private void read(int node, String path) {
        reads.put(path, World.current().caller(node).getLater(path));
    }

    private static void assertOwn(String path, Answer answer) {
        if (answer.good()) {
            assertThat(answer.body()).contains("\"" + path + "\"").endsWith("}");
        } else {
            assertThat(answer.outcome()).as(answer.toString()).isIn("unknown", "not-run");
        }
    }
}
