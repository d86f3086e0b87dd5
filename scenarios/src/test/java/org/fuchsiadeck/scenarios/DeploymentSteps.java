package org.fuchsiadeck.scenarios;

import java.io.IOException;
import java.util.List;

import io.cucumber.java.en.Given;
import io.cucumber.java.en.When;
import org.fuchsiadeck.testbed.cloud.CloudFaults;
import org.fuchsiadeck.testbed.kv.KvFaults;
import org.fuchsiadeck.testbed.proxy.ProxyAction;
import org.fuchsiadeck.testbed.proxy.ProxyFaults;

import static org.assertj.core.api.Assertions.assertThat;

/** Steps that start, stop and fail parts of a deployment. */
public final class DeploymentSteps {
    private static final long NEVER_MS = 600_000;

    @Given("{int} entry nodes, and registers that take {int} ms for an entry")
    public void start(int nodes, int serviceMs) {
        World.start(Deployment.start(Fleets.threeZones(serviceMs), Fleets.configuration(), nodes));
    }

    @Given("{int} entry nodes, and a list of instances that lags by {int} ms")
    public void startWithLag(int nodes, int lagMs) {
        World.start(Deployment.start(Fleets.lagging(lagMs), Fleets.configuration(), nodes));
    }

    @When("node {int} is killed")
    public void killNode(int node) {
        World.current().node(node).kill();
    }

    @When("node {int} is asked to stop")
    public void stopNode(int node) {
        World.current().node(node).terminate();
    }

    @When("another node is started")
    public void startNode() {
        World.current().deployment.startNode().awaitReady();
    }

    @When("the live nodes alone keep the keys")
    public void keysKept() {
        World.current().deployment.awaitKeysKept();
    }

    @When("the platform's service goes down")
    public void outage() {
        World.current().deployment.testbed().kv().faults(KvFaults.outage(KvFaults.Mode.REFUSE));
    }

    @When("the platform's service is back")
    public void outageEnds() {
        World.current().deployment.testbed().kv().faults(KvFaults.none());
    }

    @When("nothing reaches node {int} from its peers")
    public void isolate(int node) {
        ProxyFaults silent = new ProxyFaults(false, true, 0, 0, 0, 0, false, List.of(ProxyAction.SILENCE));
        World.current().deployment.peerFaults(node - 1, silent);
    }

    @When("the nodes reach each other again")
    public void rejoin() {
        Deployment deployment = World.current().deployment;
        for (int i = 0; i < deployment.nodes().size(); i++) {
            deployment.peerFaults(i, ProxyFaults.of(ProxyAction.CUT));
        }
    }

    @When("notices come too late")
    public void lagNotices() {
        World.current().deployment.testbed().cloud().faults(new CloudFaults(false, 0, NEVER_MS, false));
    }

    @When("notices are lost and the list of instances is not renewed")
    public void loseNotices() {
        World.current().deployment.testbed().cloud().faults(new CloudFaults(true, 0, 0, true));
    }

    @When("{word} is given a notice of {int} ms")
    public void leave(String instance, int noticeMs) {
        World.current().deployment.testbed().leave(instance, noticeMs);
    }

    @When("the zone {word} is reclaimed on {int} ms of notice, with the entry node {int}")
    public void reclaimZone(String zone, int noticeMs, int node) {
        World world = World.current();
        assertThat(world.node(node).plan().zone()).isEqualTo(zone);
        world.deployment.testbed().reclaim(zone, noticeMs);
        world.deployment.testbed().leave(world.node(node).plan().id(), noticeMs);
    }

    @When("{word} is gone")
    public void gone(String backend) {
        Deployment deployment = World.current().deployment;
        Waiting.until(
                backend + " is gone",
                () -> deployment.testbed().state().backends().stream()
                        .noneMatch(b -> b.id().equals(backend) && b.running()));
    }

    @When("{word} is started again")
    public void restart(String backend) throws IOException {
        World.current().deployment.testbed().restart(backend);
    }
}
