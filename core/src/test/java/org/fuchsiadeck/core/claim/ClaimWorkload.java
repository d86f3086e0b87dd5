package org.fuchsiadeck.core.claim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.fuchsiadeck.core.SimulatedNodes;
import org.fuchsiadeck.core.claim.ClaimEvent.Settlement;
import org.fuchsiadeck.core.model.RequestId;
import org.fuchsiadeck.core.request.RequestEvent;

/**
 * Simulated callers that claim keys at simulated nodes and settle their requests with random outcomes. Records a
 * violation when a key is granted again within the claim lifetime although its earlier request was not reported as not
 * run.
 */
final class ClaimWorkload {
    final List<String> violations = new ArrayList<>();
    final Map<RequestEvent.Denial, Integer> denials = new HashMap<>();
    int granted;

    private final SimulatedNodes simulation;
    private final long lifetimeMs;
    private final Map<RequestId, String> keys = new HashMap<>();
    private final Map<String, Grant> grants = new HashMap<>();
    private int requests;

    private record Grant(RequestId request, long atMs) {}

    ClaimWorkload(SimulatedNodes simulation, long lifetimeMs) {
        this.simulation = simulation;
        this.lifetimeMs = lifetimeMs;
        simulation.requestListener = this::handleDecision;
    }

    void claim(String key) {
        if (simulation.nodes.isEmpty()) {
            return;
        }
        List<String> ids = new ArrayList<>(simulation.nodes.keySet());
        claimAt(ids.get(simulation.random.nextInt(ids.size())), key);
    }

    void claimAt(String node, String key) {
        RequestId id = new RequestId("r" + requests++);
        keys.put(id, key);
        simulation.post(node, 0, new ClaimEvent.Wanted(id, key));
    }

    private void handleDecision(String node, RequestEvent event) {
        if (event instanceof RequestEvent.ClaimDenied denied) {
            denials.merge(denied.denial(), 1, Integer::sum);
        } else if (event instanceof RequestEvent.ClaimGranted) {
            recordGrant(node, event.id());
        }
    }

    private void recordGrant(String node, RequestId id) {
        granted++;
        String key = keys.get(id);
        Grant previous = grants.get(key);
        if (previous != null && simulation.nowMs < previous.atMs() + lifetimeMs) {
            violations.add(key + " granted to " + previous + " and at " + simulation.nowMs + " to " + id);
        }
        grants.put(key, new Grant(id, simulation.nowMs));
        int outcome = simulation.random.nextInt(5);
        if (outcome < Settlement.values().length) {
            simulation.runLater(
                    simulation.random.nextInt(3_000), () -> settle(node, id, key, Settlement.values()[outcome]));
        }
    }

    private void settle(String node, RequestId id, String key, Settlement settlement) {
        if (!simulation.nodes.containsKey(node)) {
            return;
        }
        if (settlement == Settlement.NOT_RUN && grants.get(key).request().equals(id)) {
            grants.remove(key);
        }
        simulation.post(node, 0, new ClaimEvent.Settled(id, key, settlement));
    }
}
