package org.fuchsiadeck.core.config;

import java.util.Set;

import org.fuchsiadeck.core.model.NodeId;
import org.fuchsiadeck.core.model.Peers;

/**
 * Spreads the configuration between entry nodes: a new revision is announced to some peers at once, and each second to
 * one peer chosen at random; a node that waits for a newer one does so more often. Only revisions are announced; a node that is behind fetches the text.
 */
final class PeerExchange {
    static final int FAN_OUT = 12;
    static final long EXCHANGE_MS = 1_000;

    private static final long EXCHANGE_BEHIND_MS = 250;
    private static final long BEHIND_MS = 10_000;
    private static final int QUERY_FAN_OUT = 5;
    private static final long QUERY_MS = 500;
    private static final long FETCH_TIMEOUT_MS = 500;

    private PeerExchange() {}

    /** Sends what is due: the announcement to a random peer, and the questions of a node that is starting. */
    static void tick(Draft draft) {
        long now = draft.nowMs();
        ConfigState.Exchange x = draft.state().exchange();
        if (now >= x.nextMs()) {
            long pause = behind(draft) ? EXCHANGE_BEHIND_MS : EXCHANGE_MS;
            draft.exchange(new ConfigState.Exchange(now + pause, x.fetching(), x.fetchedMs()));
            announce(draft, 1);
        }
        ConfigState.Startup s = draft.state().startup();
        if (!s.done() && now >= s.nextQueryMs()) {
            query(draft, s);
        }
    }

    /** Announces the revision in force to several peers. */
    static void announceToMany(Draft draft) {
        announce(draft, FAN_OUT);
    }

    /** Takes a message of a peer. */
    static void received(Draft draft, NodeId from, ConfigMessage message) {
        if (message instanceof ConfigMessage.Announce announce) {
            announced(draft, from, announce.revision());
        } else if (message instanceof ConfigMessage.Query) {
            draft.send(from, new ConfigMessage.Announce(draft.revision()));
        } else if (message instanceof ConfigMessage.Offer offer) {
            draft.heardPeer(from, offer.revision());
            ConfigReducer.learn(draft, offer.revision(), offer.value(), from.value());
        } else if (draft.revision() > 0) {
            draft.send(
                    from,
                    new ConfigMessage.Offer(draft.revision(), draft.state().value()));
        }
    }

    private static void announced(Draft draft, NodeId from, long revision) {
        draft.heardPeer(from, revision);
        if (revision < draft.revision()) {
            draft.send(from, new ConfigMessage.Announce(draft.revision()));
            return;
        }
        ConfigState.Exchange x = draft.state().exchange();
        boolean fetching = revision <= x.fetching() && draft.nowMs() - x.fetchedMs() < FETCH_TIMEOUT_MS;
        if (revision > draft.settled() && !fetching) {
            draft.exchange(new ConfigState.Exchange(x.nextMs(), revision, draft.nowMs()));
            draft.send(from, new ConfigMessage.Fetch());
        }
    }

    private static void announce(Draft draft, int count) {
        for (Peers.Peer peer : draft.randomPeers(count, Set.of())) {
            draft.send(peer.id(), new ConfigMessage.Announce(draft.revision()));
        }
    }

    private static void query(Draft draft, ConfigState.Startup s) {
        for (Peers.Peer peer : draft.randomPeers(QUERY_FAN_OUT, s.heard().keySet())) {
            draft.send(peer.id(), new ConfigMessage.Query());
        }
        draft.startup(s.withNextQuery(draft.nowMs() + QUERY_MS), draft.state().unready());
    }

    /** Tells whether a newer configuration was asked for and has not come. */
    private static boolean behind(Draft draft) {
        ConfigState.Exchange x = draft.state().exchange();
        return x.fetching() > draft.settled() && draft.nowMs() - x.fetchedMs() < BEHIND_MS;
    }
}
