package org.fuchsiadeck.core.config;

import java.util.Set;

import org.fuchsiadeck.core.model.NodeId;
import org.fuchsiadeck.core.model.Peers;

/**
 * Spreads the configuration between entry nodes: a new revision is announced to some peers at once, and each second to
 * one peer chosen at random; a node that waits for a newer one does so more often. Only revisions are announced; a node that is behind fetches the text.
 */
final class PeerExchange {
    static final int ANNOUNCE_FAN_OUT = 12;
    static final long ANNOUNCE_INTERVAL_MS = 1_000;

    private static final long ANNOUNCE_INTERVAL_BEHIND_MS = 250;
    private static final long MAX_BEHIND_MS = 10_000;
    private static final int QUERY_FAN_OUT = 5;
    private static final long QUERY_INTERVAL_MS = 500;
    private static final long FETCH_TIMEOUT_MS = 500;

    private PeerExchange() {}

    /** Sends what is due: the announcement to a random peer, and the questions of a node that is starting. */
    static void onTick(ConfigReduction draft) {
        long now = draft.nowMs();
        ConfigState.ExchangeState x = draft.state().exchange();
        if (now >= x.nextMs()) {
            long pause = isBehind(draft) ? ANNOUNCE_INTERVAL_BEHIND_MS : ANNOUNCE_INTERVAL_MS;
            draft.setExchange(new ConfigState.ExchangeState(now + pause, x.fetching(), x.fetchedMs()));
            announce(draft, 1);
        }
        ConfigState.StartupProgress s = draft.state().startup();
        if (!s.done() && now >= s.nextQueryMs()) {
            queryPeers(draft, s);
        }
    }

    /** Announces the revision in force to several peers. */
    static void broadcastRevision(ConfigReduction draft) {
        announce(draft, ANNOUNCE_FAN_OUT);
    }

    /** Takes a message of a peer. */
    static void onMessage(ConfigReduction draft, NodeId from, ConfigMessage message) {
        if (message instanceof ConfigMessage.Announce announce) {
            onAnnounce(draft, from, announce.revision());
        } else if (message instanceof ConfigMessage.Query) {
            draft.send(from, new ConfigMessage.Announce(draft.revision()));
        } else if (message instanceof ConfigMessage.Offer offer) {
            draft.recordPeerRevision(from, offer.revision());
            ConfigReducer.parseIfNewer(draft, offer.revision(), offer.value(), from.value());
        } else if (draft.revision() > 0) {
            draft.send(
                    from,
                    new ConfigMessage.Offer(draft.revision(), draft.state().value()));
        }
    }

    private static void onAnnounce(ConfigReduction draft, NodeId from, long revision) {
        draft.recordPeerRevision(from, revision);
        if (revision < draft.revision()) {
            draft.send(from, new ConfigMessage.Announce(draft.revision()));
            return;
        }
        ConfigState.ExchangeState x = draft.state().exchange();
        boolean fetching = revision <= x.fetching() && draft.nowMs() - x.fetchedMs() < FETCH_TIMEOUT_MS;
        if (revision > draft.newestHandledRevision() && !fetching) {
            draft.setExchange(new ConfigState.ExchangeState(x.nextMs(), revision, draft.nowMs()));
            draft.send(from, new ConfigMessage.Fetch());
        }
    }

    private static void announce(ConfigReduction draft, int count) {
        for (Peers.Peer peer : draft.randomPeers(count, Set.of())) {
            draft.send(peer.id(), new ConfigMessage.Announce(draft.revision()));
        }
    }

    private static void queryPeers(ConfigReduction draft, ConfigState.StartupProgress s) {
        for (Peers.Peer peer : draft.randomPeers(QUERY_FAN_OUT, s.heard().keySet())) {
            draft.send(peer.id(), new ConfigMessage.Query());
        }
        draft.setStartup(
                s.withNextQueryMs(draft.nowMs() + QUERY_INTERVAL_MS),
                draft.state().unready());
    }

    /** Tells whether a newer configuration was asked for and has not come. */
    private static boolean isBehind(ConfigReduction draft) {
        ConfigState.ExchangeState x = draft.state().exchange();
        return x.fetching() > draft.newestHandledRevision() && draft.nowMs() - x.fetchedMs() < MAX_BEHIND_MS;
    }
}
