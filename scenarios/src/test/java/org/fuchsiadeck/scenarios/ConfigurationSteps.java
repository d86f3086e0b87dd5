package org.fuchsiadeck.scenarios;

import java.util.HashMap;
import java.util.Map;

import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import org.fuchsiadeck.testbed.kv.KvFaults;

import static org.assertj.core.api.Assertions.assertThat;

/** Steps about the operators' configuration. */
public final class ConfigurationSteps {
    private static final double LOSS_RATE = 0.5;

    private final Map<String, Long> seen = new HashMap<>();
    private long accepted;
    private int changes;

    @When("an operator's change is accepted")
    public void accept() {
        accepted = World.current().deployment.apply(Fleets.configuration("queue_limit", 300 + ++changes));
    }

    @When("{int} changes are accepted one after the other, while every second answer to a write is lost")
    public void acceptManyOverLosses(int count) {
        Deployment deployment = World.current().deployment;
        deployment.testbed().kv().faults(new KvFaults(false, KvFaults.Mode.REFUSE, 0, 0, LOSS_RATE, 0, false));
        for (int i = 0; i < count; i++) {
            accept();
        }
        deployment.testbed().kv().faults(KvFaults.none());
    }

    @When("some node has it in force, and the platform's service goes down at once")
    public void outageAfterFirst() {
        Deployment deployment = World.current().deployment;
        Waiting.until(
                "some node has it in force",
                () -> deployment.live().stream().anyMatch(n -> n.configRevision() == accepted));
        deployment.testbed().kv().faults(KvFaults.outage(KvFaults.Mode.HANG));
    }

    @When("the platform's service loses the change")
    public void revert() {
        World.current().deployment.deleteConfiguration();
    }

    @Then("it is in force on every live node")
    public void inForce() {
        World.current().deployment.awaitRevision(accepted);
        noneReverted();
    }

    @Then("no node goes back")
    public void noneReverted() {
        for (NodeProcess node : World.current().deployment.live()) {
            long now = node.configRevision();
            long before = seen.getOrDefault(node.plan().id(), 0L);
            assertThat(now).as(node.plan().id()).isGreaterThanOrEqualTo(before);
            seen.put(node.plan().id(), now);
        }
    }

    @Then("it is still in force after {int} more readings of every node")
    public void stays(int readings) {
        for (int i = 0; i < readings; i++) {
            noneReverted();
        }
        World.current().deployment.awaitRevision(accepted);
    }
}
