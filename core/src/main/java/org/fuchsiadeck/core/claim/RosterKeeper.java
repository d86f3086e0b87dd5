package org.fuchsiadeck.core.claim;

import java.util.Comparator;
import java.util.OptionalLong;

import io.vavr.collection.Set;
import io.vavr.collection.TreeMap;
import io.vavr.collection.TreeSet;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import org.fuchsiadeck.core.Effect;
import org.fuchsiadeck.core.EventCode;
import org.fuchsiadeck.core.claim.Upkeep.Calls;
import org.fuchsiadeck.core.model.NodeId;
import org.fuchsiadeck.core.model.SplitMix64;
import org.fuchsiadeck.core.platform.PlatformEffect;
import org.fuchsiadeck.core.platform.PlatformEvent;

/**
 * Reads the rosters from the platform's service, and on one node, the keeper, writes them there when members come and
 * go. Which node is the keeper need not be agreed: writes are by compare-and-swap.
 */
final class RosterKeeper {
    /** The key of the rosters in the platform's service. */
    static final String KEY = "claims/roster";

    private static final String GET_TAG = "claims/get";
    private static final String PUT_TAG = "claims/put-";
    private static final long CALL_TIMEOUT_MS = 5_000;
    private static final long KEEPER_READ_MS = 10_000;
    private static final long MEMBER_READ_MS = 60_000;
    private static final long OUTSIDER_READ_MS = 120_000;
    private static final long FIRST_BACKOFF_MS = 500;
    private static final int MAX_BACKOFF_DOUBLINGS = 6;

    private RosterKeeper() {}

    /** Returns the node that keeps the rosters, as far as this node sees. */
    static Option<NodeId> keeper(Turn turn) {
        Set<NodeId> here = here(turn);
        RosterChain chain = turn.state.chain().getOrNull();
        if (chain == null) {
            return here.minBy(Comparator.naturalOrder());
        }
        Set<NodeId> members = chain.newest().members().keySet();
        Option<NodeId> member = here.filter(members::contains).minBy(Comparator.naturalOrder());
        boolean allGone = members.forAll(m -> RosterPlan.gone(turn, m));
        return allGone ? here.minBy(Comparator.naturalOrder()) : member;
    }

    private static Set<NodeId> here(Turn turn) {
        Set<NodeId> peers = TreeSet.ofAll(turn.view.peers().alive().keySet());
        return turn.state.upkeep().sight().selfLeaving() ? peers : peers.add(turn.self);
    }

    static void round(Turn turn) {
        if (turn.nowMs < turn.state.upkeep().calls().nextReadMs()) {
            return;
        }
        if (turn.state.upkeep().calls().proposal().isDefined()) {
            calls(turn, turn.state.upkeep().calls().failed(turn.nowMs));
        }
        read(turn);
    }

    private static void read(Turn turn) {
        calls(turn, turn.state.upkeep().calls().readAt(turn.nowMs + CALL_TIMEOUT_MS));
        turn.emit(new PlatformEffect.Get(GET_TAG, KEY));
    }

    /** Writes new rosters if this node is the keeper and there is something to change. */
    static void keep(Turn turn) {
        Calls calls = turn.state.upkeep().calls();
        if (calls.proposal().isDefined()
                || calls.failures() > 0
                || !keeper(turn).contains(turn.self)) {
            return;
        }
        if (turn.state.chain().isEmpty() && !calls.absent()) {
            return;
        }
        Vector<Roster> rosters = RosterPlan.next(turn);
        if (rosters.isEmpty() || turn.state.chain().exists(c -> c.rosters().equals(rosters))) {
            return;
        }
        Calls next = calls.propose(rosters, turn.nowMs + CALL_TIMEOUT_MS);
        calls(turn, next);
        OptionalLong expected = OptionalLong.of(turn.state.revision());
        turn.emit(new PlatformEffect.Put(PUT_TAG + next.puts(), KEY, RosterText.write(rosters), expected));
    }

    static void answered(Turn turn, PlatformEvent event) {
        if (event instanceof PlatformEvent.Found found && found.tag().equals(GET_TAG)) {
            found(turn, found);
        } else if (event instanceof PlatformEvent.Written written && isOurs(turn, written.tag())) {
            written(turn, written.revision());
        } else if (event instanceof PlatformEvent.Conflicted conflicted && isOurs(turn, conflicted.tag())) {
            calls(turn, turn.state.upkeep().calls().answered(false));
            read(turn);
        } else if (event instanceof PlatformEvent.CallFailed failed
                && (failed.tag().equals(GET_TAG) || isOurs(turn, failed.tag()))) {
            failed(turn);
        }
    }

    private static boolean isOurs(Turn turn, String tag) {
        Calls calls = turn.state.upkeep().calls();
        return calls.proposal().isDefined() && tag.equals(PUT_TAG + calls.puts());
    }

    private static void found(Turn turn, PlatformEvent.Found found) {
        Option<PlatformEvent.Entry> entry =
                Option.ofOptional(found.entry()).filter(e -> e.value().isPresent());
        boolean absent = entry.isEmpty();
        if (turn.state.upkeep().calls().proposal().isEmpty()) {
            calls(turn, turn.state.upkeep().calls().answered(absent).readAt(nextReadMs(turn)));
        }
        entry.forEach(e -> read(turn, e));
    }

    private static void read(Turn turn, PlatformEvent.Entry entry) {
        try {
            RosterSync.adopt(
                    turn, RosterText.read(entry.revision(), entry.value().get()));
        } catch (IllegalArgumentException e) {
            turn.emit(new Effect.Log(EventCode.ROSTER_UNREADABLE, KEY + ": " + e.getMessage()));
        }
    }

    private static void written(Turn turn, long revision) {
        Vector<Roster> rosters = turn.state.upkeep().calls().proposal().get();
        calls(turn, turn.state.upkeep().calls().answered(false).readAt(nextReadMs(turn)));
        RosterChain chain = new RosterChain(revision, rosters);
        RosterSync.adopt(turn, chain);
        chain.members()
                .filter(id -> !id.equals(turn.self))
                .forEach(id -> turn.send(id, new ClaimMessage.RosterNews(chain)));
    }

    private static long nextReadMs(Turn turn) {
        if (turn.state.chain().isEmpty() || keeper(turn).contains(turn.self)) {
            return turn.nowMs + spread(turn, KEEPER_READ_MS);
        }
        boolean member = turn.state.chain().get().includes(turn.self);
        return turn.nowMs + spread(turn, member ? MEMBER_READ_MS : OUTSIDER_READ_MS);
    }

    private static void failed(Turn turn) {
        Calls calls = turn.state.upkeep().calls();
        long limitMs = FIRST_BACKOFF_MS << Math.min(calls.failures(), MAX_BACKOFF_DOUBLINGS);
        calls(turn, calls.failed(turn.nowMs + spread(turn, limitMs)));
    }

    /** Spreads calls of different nodes over the second half of a time. */
    private static long spread(Turn turn, long limitMs) {
        long draw = SplitMix64.mix(turn.view.self().seed() ^ turn.nowMs);
        return limitMs / 2 + Long.remainderUnsigned(draw, limitMs / 2 + 1);
    }

    private static void calls(Turn turn, Calls next) {
        turn.state = turn.state.with(turn.state.upkeep().with(next));
    }

    /** Notes that a member of the rosters was or was not seen. */
    static TreeMap<NodeId, Long> track(TreeMap<NodeId, Long> since, Vector<NodeId> missing, long nowMs) {
        TreeMap<NodeId, Long> next = TreeMap.empty();
        for (NodeId id : missing) {
            next = next.put(id, since.getOrElse(id, nowMs));
        }
        return next;
    }
}
