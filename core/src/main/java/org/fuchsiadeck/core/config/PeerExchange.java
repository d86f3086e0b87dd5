package org.fuchsiadeck.core.config;

import java.util.Set;

import org.fuchsiadeck.core.model.NodeId;
import org.fuchsiadeck.core.model.Peers;
import org.fuchsiadeck.core.platform.Position;

/**
 * Exchanges the configuration with other entry nodes by gossip. A node announces a new revision to several peers at
 * once, and the revision in force to one random peer each second, or more often while it waits for a newer one.
 * Announcements carry only the revision; a node that is behind fetches the text.
 */
final class PeerExchange {
    /** Peers to which a newly applied revision is announced. */
    static final int ANNOUNCE_FAN_OUT = 12;

    /** Time between announcements to a random peer. */
    static final long ANNOUNCE_INTERVAL_MS = 1_000;

    /** Time between announcements while a newer configuration was requested and has not been parsed. */
    private static final long ANNOUNCE_INTERVAL_BEHIND_MS = 250;

    /** Time after a fetch until the node announces at the usual interval again. */
    private static final long MAX_BEHIND_MS = 10_000;

    private static final int QUERY_FAN_OUT = 5;
    private static final long QUERY_INTERVAL_MS = 500;
    private static final long FETCH_TIMEOUT_MS = 500;

    private PeerExchange() {}

    /** Sends the regular announcement, and the queries of a node that is not ready yet, when they are due. */
    static void onTick(ConfigReduction reduction) {
        long now = reduction.nowMs();
        ConfigState.ExchangeState exchange = reduction.state().exchange();
        if (now >= exchange.nextMs()) {
            long intervalMs = isBehind(reduction) ? ANNOUNCE_INTERVAL_BEHIND_MS : ANNOUNCE_INTERVAL_MS;
            reduction.setExchange(
                    new ConfigState.ExchangeState(now + intervalMs, exchange.fetching(), exchange.fetchedMs()));
            announce(reduction, 1);
        }
        ConfigState.StartupProgress startup = reduction.state().startup();
        if (!startup.done() && now >= startup.nextQueryMs()) {
            queryPeers(reduction, startup);
        }
    }

    /** Announces the revision in force to {@link #ANNOUNCE_FAN_OUT} random peers. */
    static void broadcastRevision(ConfigReduction reduction) {
        announce(reduction, ANNOUNCE_FAN_OUT);
    }

    /** Handles a message from a peer. */
    static void onMessage(ConfigReduction reduction, NodeId from, ConfigMessage message) {
        if (message instanceof ConfigMessage.Announce announce) {
            CurrencyChecks.onAnswer(reduction, announce);
            onAnnounce(reduction, from, announce);
        } else if (message instanceof ConfigMessage.Query query) {
            CurrencyChecks.onQuery(reduction, from, query.number());
        } else if (message instanceof ConfigMessage.Offer offer) {
            reduction.recordReport(from, offer.revision(), 0);
            onOffer(reduction, from, offer);
        } else if (reduction.revision() > 0) {
            reduction.send(
                    from,
                    new ConfigMessage.Offer(
                            reduction.revision(), reduction.state().value()));
        }
    }

    /** Parses an offer. One that was fetched for its document's version may have an earlier revision. */
    private static void onOffer(ConfigReduction reduction, NodeId from, ConfigMessage.Offer offer) {
        boolean earlierEra = Position.era(offer.revision()) < Position.era(reduction.revision());
        if (earlierEra && offer.revision() == reduction.state().exchange().fetching()) {
            ConfigReducer.parse(reduction, offer.revision(), offer.value(), from.value());
        } else {
            ConfigReducer.parseIfNewer(reduction, offer.revision(), offer.value(), from.value());
        }
    }

    private static void onAnnounce(ConfigReduction reduction, NodeId from, ConfigMessage.Announce announce) {
        long revision = announce.revision();
        long version = announce.version();
        long ownRevision = reduction.revision();
        long ownVersion = reduction.state().current().version();
        reduction.recordReport(from, revision, version);
        if (Configuration.isNewer(ownRevision, ownVersion, revision, version)) {
            reduction.send(from, reduction.announcement(0, 0));
            return;
        }
        boolean earlierEra = Position.era(revision) < Position.era(ownRevision);
        boolean unhandled = earlierEra || revision > reduction.newestHandledRevision();
        ConfigState.ExchangeState exchange = reduction.state().exchange();
        boolean fetchPending = (earlierEra ? revision == exchange.fetching() : revision <= exchange.fetching())
                && reduction.nowMs() - exchange.fetchedMs() < FETCH_TIMEOUT_MS;
        if (Configuration.isNewer(revision, version, ownRevision, ownVersion) && unhandled && !fetchPending) {
            reduction.setExchange(new ConfigState.ExchangeState(exchange.nextMs(), revision, reduction.nowMs()));
            reduction.send(from, new ConfigMessage.Fetch());
        }
    }

    private static void announce(ConfigReduction reduction, int count) {
        for (Peers.Peer peer : reduction.randomPeers(count, Set.of())) {
            reduction.send(peer.id(), reduction.announcement(0, 0));
        }
    }

    private static void queryPeers(ConfigReduction reduction, ConfigState.StartupProgress startup) {
        for (Peers.Peer peer :
                reduction.randomPeers(QUERY_FAN_OUT, startup.heard().keySet())) {
            reduction.send(peer.id(), new ConfigMessage.Query());
        }
        reduction.setStartup(
                startup.withNextQueryMs(reduction.nowMs() + QUERY_INTERVAL_MS),
                reduction.state().unready());
    }

    /** Returns whether a newer configuration was requested lately and has been neither applied nor rejected. */
    private static boolean isBehind(ConfigReduction reduction) {
        ConfigState.ExchangeState exchange = reduction.state().exchange();
        return exchange.fetching() > reduction.newestHandledRevision()
                && reduction.nowMs() - exchange.fetchedMs() < MAX_BEHIND_MS;
    }
}
