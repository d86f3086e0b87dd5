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
import org.fuchsiadeck.core.claim.Maintenance.ServiceCalls;
import org.fuchsiadeck.core.model.NodeId;
import org.fuchsiadeck.core.model.SplitMix64;
import org.fuchsiadeck.core.platform.PlatformEffect;
import org.fuchsiadeck.core.platform.PlatformEvent;

/**
 * Reads the rosters from the platform's service, and on one node, the keeper, writes them there when members come and
 * go. Which node is the keeper need not be agreed: writes are by compare-and-swap.
 */
final class RosterStore {
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

    private RosterStore() {}

    /** Returns the node that keeps the rosters, as far as this node sees. */
    static Option<NodeId> writer(ClaimContext turn) {
        Set<NodeId> here = here(turn);
        RosterChain chain = turn.state.chain().getOrNull();
        if (chain == null) {
            return here.minBy(Comparator.naturalOrder());
        }
        Set<NodeId> members = chain.newest().members().keySet();
        Option<NodeId> member = here.filter(members::contains).minBy(Comparator.naturalOrder());
        boolean allGone = members.forAll(m -> RosterPlan.isGone(turn, m));
        return allGone ? here.minBy(Comparator.naturalOrder()) : member;
    }

    private static Set<NodeId> here(ClaimContext turn) {
        Set<NodeId> peers = TreeSet.ofAll(turn.view.peers().alive().keySet());
        return turn.state.maintenance().presence().selfLeaving() ? peers : peers.add(turn.self);
    }

    static void readIfDue(ClaimContext turn) {
        if (turn.nowMs < turn.state.maintenance().calls().nextReadMs()) {
            return;
        }
        if (turn.state.maintenance().calls().proposal().isDefined()) {
            calls(turn, turn.state.maintenance().calls().afterFailure(turn.nowMs));
        }
        read(turn);
    }

    private static void read(ClaimContext turn) {
        calls(turn, turn.state.maintenance().calls().withNextRead(turn.nowMs + CALL_TIMEOUT_MS));
        turn.emit(new PlatformEffect.Get(GET_TAG, KEY));
    }

    /** Writes new rosters if this node is the keeper and there is something to change. */
    static void writeIfChanged(ClaimContext turn) {
        ServiceCalls calls = turn.state.maintenance().calls();
        if (calls.proposal().isDefined()
                || calls.failures() > 0
                || !writer(turn).contains(turn.self)) {
            return;
        }
        if (turn.state.chain().isEmpty() && !calls.keyAbsent()) {
            return;
        }
        Vector<Roster> rosters = RosterPlan.plan(turn);
        if (rosters.isEmpty() || turn.state.chain().exists(c -> c.rosters().equals(rosters))) {
            return;
        }
        ServiceCalls next = calls.withProposal(rosters, turn.nowMs + CALL_TIMEOUT_MS);
        calls(turn, next);
        OptionalLong expected = OptionalLong.of(turn.state.revision());
        turn.emit(new PlatformEffect.Put(PUT_TAG + next.writes(), KEY, RosterText.format(rosters), expected));
    }

    static void handleServiceEvent(ClaimContext turn, PlatformEvent event) {
        if (event instanceof PlatformEvent.Found found && found.tag().equals(GET_TAG)) {
            found(turn, found);
        } else if (event instanceof PlatformEvent.Written written && isOurs(turn, written.tag())) {
            written(turn, written.revision());
        } else if (event instanceof PlatformEvent.Conflicted conflicted && isOurs(turn, conflicted.tag())) {
            calls(turn, turn.state.maintenance().calls().afterSuccess(false));
            read(turn);
        } else if (event instanceof PlatformEvent.CallFailed failed
                && (failed.tag().equals(GET_TAG) || isOurs(turn, failed.tag()))) {
            failed(turn);
        }
    }

    private static boolean isOurs(ClaimContext turn, String tag) {
        ServiceCalls calls = turn.state.maintenance().calls();
        return calls.proposal().isDefined() && tag.equals(PUT_TAG + calls.writes());
    }

    private static void found(ClaimContext turn, PlatformEvent.Found found) {
        Option<PlatformEvent.Entry> entry =
                Option.ofOptional(found.entry()).filter(e -> e.value().isPresent());
        boolean absent = entry.isEmpty();
        if (turn.state.maintenance().calls().proposal().isEmpty()) {
            calls(turn, turn.state.maintenance().calls().afterSuccess(absent).withNextRead(nextReadMs(turn)));
        }
        entry.forEach(e -> read(turn, e));
    }

    private static void read(ClaimContext turn, PlatformEvent.Entry entry) {
        try {
            RosterSync.adopt(
                    turn, RosterText.parse(entry.revision(), entry.value().get()));
        } catch (IllegalArgumentException e) {
            turn.emit(new Effect.Log(EventCode.ROSTER_UNREADABLE, KEY + ": " + e.getMessage()));
        }
    }

    private static void written(ClaimContext turn, long revision) {
        Vector<Roster> rosters = turn.state.maintenance().calls().proposal().get();
        calls(turn, turn.state.maintenance().calls().afterSuccess(false).withNextRead(nextReadMs(turn)));
        RosterChain chain = new RosterChain(revision, rosters);
        RosterSync.adopt(turn, chain);
        chain.members()
                .filter(id -> !id.equals(turn.self))
                .forEach(id -> turn.send(id, new ClaimMessage.RosterNews(chain)));
    }

    private static long nextReadMs(ClaimContext turn) {
        if (turn.state.chain().isEmpty() || writer(turn).contains(turn.self)) {
            return turn.nowMs + spread(turn, KEEPER_READ_MS);
        }
        boolean member = turn.state.chain().get().includes(turn.self);
        return turn.nowMs + spread(turn, member ? MEMBER_READ_MS : OUTSIDER_READ_MS);
    }

    private static void failed(ClaimContext turn) {
        ServiceCalls calls = turn.state.maintenance().calls();
        long limitMs = FIRST_BACKOFF_MS << Math.min(calls.failures(), MAX_BACKOFF_DOUBLINGS);
        calls(turn, calls.afterFailure(turn.nowMs + spread(turn, limitMs)));
    }

    /** Spreads calls of different nodes over the second half of a time. */
    private static long spread(ClaimContext turn, long limitMs) {
        long draw = SplitMix64.mix(turn.view.self().seed() ^ turn.nowMs);
        return limitMs / 2 + Long.remainderUnsigned(draw, limitMs / 2 + 1);
    }

    private static void calls(ClaimContext turn, ServiceCalls next) {
        turn.state = turn.state.with(turn.state.maintenance().with(next));
    }

    /** Notes that a member of the rosters was or was not seen. */
    static TreeMap<NodeId, Long> trackMissing(TreeMap<NodeId, Long> since, Vector<NodeId> missing, long nowMs) {
        TreeMap<NodeId, Long> next = TreeMap.empty();
        for (NodeId id : missing) {
            next = next.put(id, since.getOrElse(id, nowMs));
        }
        return next;
    }
}
