package org.fuchsiadeck.core.config;

import java.util.ArrayList;
import java.util.List;

/**
 * Decides when a node that has started may serve callers: when it has heard the platform's service or enough peers,
 * and nothing newer than what is in force.
 */
final class Readiness {
    private static final int PEERS_TO_HEAR = 2;
    private static final long SETTLE_MS = 1_000;

    private Readiness() {}

    /** Recomputes why the node is not ready. A node that has been ready stays ready. */
    static void update(Draft draft) {
        ConfigState.Startup s = draft.state().startup();
        if (s.done()) {
            return;
        }
        List<String> reasons = reasons(draft, s);
        boolean done = reasons.isEmpty();
        draft.startup(
                new ConfigState.Startup(done, s.sinceMs(), s.platformHeard(), s.heard(), s.newest(), s.nextQueryMs()),
                reasons);
    }

    private static List<String> reasons(Draft draft, ConfigState.Startup s) {
        List<String> out = new ArrayList<>();
        if (draft.revision() == 0) {
            out.add(
                    s.platformHeard() && s.newest() == 0
                            ? "the platform's service holds no configuration"
                            : "no configuration is known");
        }
        if (draft.revision() < s.newest()) {
            out.add("configuration " + s.newest() + " is not in force here"
                    + (draft.state().candidate().rejected() >= s.newest() ? ": it could not be read" : " yet"));
        }
        int known = draft.view.peers().alive().size();
        if (!s.platformHeard() && !enough(draft, s, known)) {
            out.add("the platform's service has not answered, and of " + known + " peers only "
                    + s.heard().size() + " have");
        }
        return out;
    }

    private static boolean enough(Draft draft, ConfigState.Startup s, int known) {
        if (s.heard().size() >= PEERS_TO_HEAR) {
            return true;
        }
        boolean settled = draft.nowMs() - s.sinceMs() >= SETTLE_MS;
        return settled && known > 0 && s.heard().size() >= known;
    }
}
