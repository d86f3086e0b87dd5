package org.fuchsiadeck.core.config;

import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.fuchsiadeck.core.Effect;
import org.fuchsiadeck.core.config.ConfigState.CheckState;
import org.fuchsiadeck.core.model.NodeId;
import org.fuchsiadeck.core.model.Peers;
import org.fuchsiadeck.core.platform.PlatformEffect;
import org.fuchsiadeck.core.platform.PlatformEvent;

/**
 * Finds out whether the configuration in force is still the newest, before a request is refused because of it.
 *
 * <p>The nodes of an availability zone form a tree. A node asks its parent, which answers from what it knew lately or finds
 * out itself, so that the platform's key-value service is called by one node of each zone, whatever the number of refusals.
 * Whoever has no parent, or no answer from it, calls the service, and then asks any peers.
 */
final class CurrencyChecks {
    static final String TAG_PREFIX = PlatformReader.TAG_PREFIX + "check/";

    /** Time after which a check that has not been answered ends. */
    static final long TIMEOUT_MS = 600;

    /** Time until the service is called if the parent has not answered: many times what its call takes. */
    private static final long PARENT_WAIT_MS = 60;

    /** Time until peers are asked, and until they are asked again. */
    private static final long PEER_INTERVAL_MS = 150;

    /** Age up to which knowledge is passed on as it is. It gets older on its way down the tree. */
    static final long MAX_ANSWER_AGE_MS = ConfigState.MAX_REFUSAL_AGE_MS * 3 / 4;

    /** Number of nodes that ask the same node of their availability zone. */
    private static final int FAN_OUT = 16;

    private static final int PEERS_ASKED = 3;

    private CurrencyChecks() {}

    /** Starts a check if a request that arrived at some time needs one. */
    static void onWanted(ConfigReduction reduction, long arrivedMs) {
        CheckState check = reduction.state().check();
        boolean recent = reduction.state().currency().provenMs() >= arrivedMs - ConfigState.MAX_REFUSAL_AGE_MS;
        if (!recent && !check.open() && !check.failedLately(reduction.nowMs())) {
            start(reduction);
        }
    }

    /** Asks whoever is next, or ends the check if its time is over. */
    static void onTimer(ConfigReduction reduction, long number) {
        CheckState check = reduction.state().check();
        if (!check.open() || check.number() != number) {
            return;
        }
        if (reduction.nowMs() - check.startedMs() >= TIMEOUT_MS) {
            reduction.setCheck(check.failed(reduction.nowMs()));
            return;
        }
        if (check.stage() == CheckState.Stage.PARENT_ASKED) {
            callService(reduction);
        } else {
            askPeers(reduction);
        }
        scheduleTimer(reduction, PEER_INTERVAL_MS);
    }

    /** Handles an answer of the key-value service to the open check. */
    static void onResult(ConfigReduction reduction, String tag, PlatformEvent event) {
        CheckState check = reduction.state().check();
        if (!check.open() || !tag.startsWith(TAG_PREFIX + check.number() + "/")) {
            return;
        }
        if (event instanceof PlatformEvent.Found found) {
            reduction.recordNewest(
                    PlatformReader.newestWritten(found.entry().stream().toList()), check.startedMs());
            end(reduction);
        } else if (event instanceof PlatformEvent.Watched watched && watched.gap()) {
            reduction.emit(new PlatformEffect.Get(tag(check.number(), "read"), ConfigReducer.KEY));
        } else if (event instanceof PlatformEvent.Watched watched) {
            reduction.recordNewest(PlatformReader.newestWritten(watched.entries()), check.startedMs());
            end(reduction);
        } else {
            askPeers(reduction);
        }
    }

    /** Handles a peer's answer to the open check. */
    static void onAnswer(ConfigReduction reduction, ConfigMessage.Announce answer) {
        CheckState check = reduction.state().check();
        if (check.open() && check.number() == answer.number()) {
            reduction.recordNewest(answer.revision(), check.startedMs() - answer.ageMs());
            if (answer.ageMs() <= ConfigState.MAX_REFUSAL_AGE_MS) {
                end(reduction);
            }
        }
    }

    /** Answers a peer's question, at once or after a check of this node's own. */
    static void onQuery(ConfigReduction reduction, NodeId from, long number) {
        long now = reduction.nowMs();
        if (number > 0 && !isKnownWithin(reduction, MAX_ANSWER_AGE_MS)) {
            onWanted(reduction, now + ConfigState.MAX_REFUSAL_AGE_MS - MAX_ANSWER_AGE_MS);
            CheckState check = reduction.state().check();
            if (check.open()) {
                reduction.setCheck(check.withAsker(from, number));
                return;
            }
        }
        answer(reduction, from, number);
    }

    private static boolean isKnownWithin(ConfigReduction reduction, long ageMs) {
        Currency currency = reduction.state().currency();
        return currency.provenMs() >= 0 && currency.ageMs(reduction.nowMs()) <= ageMs;
    }

    private static void answer(ConfigReduction reduction, NodeId to, long number) {
        Currency currency = reduction.state().currency();
        boolean inForce = currency.revision() <= reduction.revision();
        boolean known = number > 0 && inForce && isKnownWithin(reduction, ConfigState.MAX_REFUSAL_AGE_MS);
        reduction.send(
                to,
                known
                        ? reduction.announcement(number, currency.ageMs(reduction.nowMs()))
                        : reduction.announcement(0, 0));
    }

    private static void end(ConfigReduction reduction) {
        CheckState check = reduction.state().check();
        check.askers().forEach((peer, number) -> answer(reduction, peer, number));
        reduction.setCheck(check.ended());
    }

    private static void start(ConfigReduction reduction) {
        CheckState check = reduction.state().check().next(reduction.nowMs());
        reduction.setCheck(check);
        Optional<NodeId> parent = reduction.view.peers().parentInZone(reduction.view.self(), FAN_OUT);
        if (parent.isPresent()) {
            reduction.send(parent.get(), new ConfigMessage.Query(check.number()));
            scheduleTimer(reduction, PARENT_WAIT_MS);
        } else {
            callService(reduction);
            scheduleTimer(reduction, PEER_INTERVAL_MS);
        }
    }

    private static void callService(ConfigReduction reduction) {
        CheckState check = reduction.state().check().with(CheckState.Stage.SERVICE_ASKED);
        reduction.setCheck(check);
        ConfigState.ReaderState reading = reduction.state().reading();
        reduction.emit(
                reading.position().isPresent()
                        ? new PlatformEffect.Watch(
                                tag(check.number(), "watch"),
                                ConfigReducer.KEY,
                                reading.position().getAsLong(),
                                0)
                        : new PlatformEffect.Get(tag(check.number(), "read"), ConfigReducer.KEY));
        if (reading.unavailable()) {
            askPeers(reduction);
        }
    }

    private static String tag(long number, String kind) {
        return TAG_PREFIX + number + "/" + kind;
    }

    private static void askPeers(ConfigReduction reduction) {
        List<Peers.Peer> peers = reduction.randomPeers(PEERS_ASKED, Set.of());
        long number = reduction.state().check().number();
        peers.forEach(p -> reduction.send(p.id(), new ConfigMessage.Query(number)));
    }

    private static void scheduleTimer(ConfigReduction reduction, long delayMs) {
        long number = reduction.state().check().number();
        reduction.emit(new Effect.Schedule(reduction.nowMs() + delayMs, new ConfigEvent.CheckDue(number)));
    }
}
