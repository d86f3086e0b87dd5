package org.fuchsiadeck.core.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import org.fuchsiadeck.core.model.NodeId;
import org.fuchsiadeck.core.model.Peers;

/**
 * Decides when a node that has started may serve callers: when it has heard the platform's service or enough peers,
 * and no peer alive has a newer configuration than the one in force.
 */
final class Readiness {
    private static final int MIN_PEERS = 2;
    private static final long PEER_WAIT_MS = 1_000;

    private Readiness() {}

    /** Recomputes why the node is not ready. A node that has been ready stays ready. */
    static void update(ConfigReduction draft) {
        ConfigState.StartupProgress s = draft.state().startup();
        if (s.done()) {
            return;
        }
        List<String> reasons = unreadyReasons(draft, s);
        draft.setStartup(reasons.isEmpty() ? s.withDone() : s, reasons);
    }

    private static List<String> unreadyReasons(ConfigReduction draft, ConfigState.StartupProgress s) {
        Map<NodeId, Peers.Peer> alive = draft.view.peers().alive();
        List<Long> heard = s.heard().entrySet().stream()
                .filter(e -> alive.containsKey(e.getKey()))
                .map(Map.Entry::getValue)
                .toList();
        long newest = Math.max(
                s.platformRevision(), heard.stream().mapToLong(r -> r).max().orElse(0));
        List<String> out = new ArrayList<>();
        if (draft.revision() == 0) {
            out.add(
                    s.platformHeard() && newest == 0
                            ? "the platform's service holds no configuration"
                            : "no configuration is known");
        }
        if (draft.revision() < newest) {
            boolean rejected = draft.state().candidate().rejected() >= newest;
            out.add("configuration " + newest + " is not in force here"
                    + (rejected ? ": it could not be read" : " yet"));
        }
        if (!s.platformHeard() && !hasEnoughPeers(draft, s, heard.size())) {
            out.add("the platform's service has not answered, and of " + alive.size() + " peers only " + heard.size()
                    + " have");
        }
        return out;
    }

    private static boolean hasEnoughPeers(ConfigReduction draft, ConfigState.StartupProgress s, int heard) {
        if (heard >= MIN_PEERS) {
            return true;
        }
        boolean settled = draft.nowMs() - s.sinceMs() >= PEER_WAIT_MS;
        return settled && heard > 0 && heard == draft.view.peers().alive().size();
    }
}
