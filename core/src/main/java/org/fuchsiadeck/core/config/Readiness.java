package org.fuchsiadeck.core.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import org.fuchsiadeck.core.model.NodeId;
import org.fuchsiadeck.core.model.Peers;

/**
 * Decides when a node that has started may serve callers: once it has a configuration, the platform's key-value service
 * or enough peers have answered, and neither the service nor a live peer has named a newer revision.
 */
final class Readiness {
    /** Peers whose answers replace that of the key-value service. */
    private static final int MIN_PEERS = 2;

    /** Time after the start from which answers from all known peers suffice, if there are fewer. */
    private static final long PEER_WAIT_MS = 1_000;

    private Readiness() {}

    /** Updates the reasons why the node is not ready. A node that has been ready stays ready. */
    static void update(ConfigReduction reduction) {
        ConfigState.StartupProgress startup = reduction.state().startup();
        if (startup.done()) {
            return;
        }
        List<String> reasons = unreadyReasons(reduction, startup);
        reduction.setStartup(reasons.isEmpty() ? startup.withDone() : startup, reasons);
    }

    private static List<String> unreadyReasons(ConfigReduction reduction, ConfigState.StartupProgress startup) {
        Map<NodeId, Peers.Peer> alive = reduction.view.peers().alive();
        List<ConfigState.Reported> reports = startup.heard().entrySet().stream()
                .filter(entry -> alive.containsKey(entry.getKey()))
                .map(Map.Entry::getValue)
                .toList();
        Configuration current = reduction.state().current();
        ConfigState.Candidate candidate = reduction.state().candidate();
        long unread = Math.max(current.revision(), candidate.older()) < startup.platformRevision()
                ? startup.platformRevision()
                : 0;
        long missing = reports.stream()
                .filter(r -> r.isNewerThan(current))
                .mapToLong(ConfigState.Reported::revision)
                .reduce(unread, Math::max);
        List<String> reasons = new ArrayList<>();
        if (reduction.revision() == 0) {
            reasons.add(
                    startup.platformHeard() && missing == 0
                            ? "the platform's service holds no configuration"
                            : "no configuration is known");
        }
        if (missing > 0) {
            boolean rejected = candidate.rejected() >= missing;
            reasons.add("configuration " + missing + " is not in force here"
                    + (rejected ? ": it could not be read" : " yet"));
        }
        if (!startup.platformHeard() && !hasEnoughPeers(reduction, startup, reports.size())) {
            reasons.add("the platform's service has not answered, and of " + alive.size() + " peers only "
                    + reports.size() + " have");
        }
        return reasons;
    }

    private static boolean hasEnoughPeers(ConfigReduction reduction, ConfigState.StartupProgress startup, int answers) {
        if (answers >= MIN_PEERS) {
            return true;
        }
        boolean waited = reduction.nowMs() - startup.sinceMs() >= PEER_WAIT_MS;
        return waited
                && answers > 0
                && answers == reduction.view.peers().alive().size();
    }
}
