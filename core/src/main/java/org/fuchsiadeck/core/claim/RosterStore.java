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
 * Reads the rosters from the platform's service, and on one node, the writer, stores changed ones there. Nodes need not
 * agree on the writer, because writes are compare-and-swap.
 */
final class RosterStore {
    /** The key of the rosters in the platform's service. */
    static final String KEY = "claims/roster";

    private static final String GET_TAG = "claims/get";
    private static final String PUT_TAG = "claims/put-";
    private static final long CALL_TIMEOUT_MS = 5_000;
    private static final long WRITER_READ_INTERVAL_MS = 10_000;
    private static final long MEMBER_READ_INTERVAL_MS = 60_000;
    private static final long NON_MEMBER_READ_INTERVAL_MS = 120_000;
    private static final long INITIAL_BACKOFF_MS = 500;
    private static final int MAX_BACKOFF_DOUBLINGS = 6;

    private RosterStore() {}

    /**
     * Returns the node that writes the rosters, according to this node: the available member of the newest roster with
     * the lowest id, or the available node with the lowest id if there is no roster or all its members are gone.
     */
    static Option<NodeId> writer(ClaimContext context) {
        Set<NodeId> available = available(context);
        RosterChain chain = context.state.chain().getOrNull();
        if (chain == null) {
            return available.minBy(Comparator.naturalOrder());
        }
        Set<NodeId> members = chain.newest().members().keySet();
        Option<NodeId> member = available.filter(members::contains).minBy(Comparator.naturalOrder());
        boolean allGone = members.forAll(m -> RosterPlan.isGone(context, m));
        return allGone ? available.minBy(Comparator.naturalOrder()) : member;
    }

    private static Set<NodeId> available(ClaimContext context) {
        Set<NodeId> peers = TreeSet.ofAll(context.view.peers().alive().keySet());
        return context.state.upkeep().sight().selfLeaving() ? peers : peers.add(context.self);
    }

    static void readIfDue(ClaimContext context) {
        if (context.nowMs < context.state.upkeep().calls().nextReadMs()) {
            return;
        }
        if (context.state.upkeep().calls().proposal().isDefined()) {
            setCalls(context, context.state.upkeep().calls().afterFailure(context.nowMs));
        }
        requestRead(context);
    }

    private static void requestRead(ClaimContext context) {
        setCalls(context, context.state.upkeep().calls().withNextRead(context.nowMs + CALL_TIMEOUT_MS));
        context.emit(new PlatformEffect.Get(GET_TAG, KEY));
    }

    /** Writes new rosters if this node is the writer and they differ from the current ones. */
    static void writeIfChanged(ClaimContext context) {
        ServiceCalls calls = context.state.upkeep().calls();
        if (calls.proposal().isDefined()
                || calls.failures() > 0
                || !writer(context).contains(context.self)) {
            return;
        }
        if (context.state.chain().isEmpty() && !calls.absent()) {
            return;
        }
        Vector<Roster> rosters = RosterPlan.plan(context);
        if (rosters.isEmpty() || context.state.chain().exists(c -> c.rosters().equals(rosters))) {
            return;
        }
        ServiceCalls next = calls.withProposal(rosters, context.nowMs + CALL_TIMEOUT_MS);
        setCalls(context, next);
        OptionalLong expected = OptionalLong.of(context.state.revision());
        context.emit(new PlatformEffect.Put(PUT_TAG + next.puts(), KEY, RosterText.format(rosters), expected));
    }

    static void onPlatformEvent(ClaimContext context, PlatformEvent event) {
        if (event instanceof PlatformEvent.Found found && found.tag().equals(GET_TAG)) {
            onFound(context, found);
        } else if (event instanceof PlatformEvent.Written written && isCurrentWrite(context, written.tag())) {
            onWritten(context, written.revision());
        } else if (event instanceof PlatformEvent.Conflicted conflicted && isCurrentWrite(context, conflicted.tag())) {
            setCalls(context, context.state.upkeep().calls().afterSuccess(false));
            requestRead(context);
        } else if (event instanceof PlatformEvent.CallFailed failed
                && (failed.tag().equals(GET_TAG) || isCurrentWrite(context, failed.tag()))) {
            onCallFailed(context);
        }
    }

    private static boolean isCurrentWrite(ClaimContext context, String tag) {
        ServiceCalls calls = context.state.upkeep().calls();
        return calls.proposal().isDefined() && tag.equals(PUT_TAG + calls.puts());
    }

    private static void onFound(ClaimContext context, PlatformEvent.Found found) {
        Option<PlatformEvent.Entry> entry =
                Option.ofOptional(found.entry()).filter(e -> e.value().isPresent());
        boolean keyAbsent = entry.isEmpty();
        if (context.state.upkeep().calls().proposal().isEmpty()) {
            setCalls(
                    context,
                    context.state.upkeep().calls().afterSuccess(keyAbsent).withNextRead(nextReadMs(context)));
        }
        entry.forEach(e -> adoptEntry(context, e));
    }

    private static void adoptEntry(ClaimContext context, PlatformEvent.Entry entry) {
        try {
            RosterSync.adopt(
                    context, RosterText.parse(entry.revision(), entry.value().get()));
        } catch (IllegalArgumentException e) {
            context.emit(new Effect.Log(EventCode.ROSTER_UNREADABLE, KEY + ": " + e.getMessage()));
        }
    }

    private static void onWritten(ClaimContext context, long revision) {
        Vector<Roster> rosters = context.state.upkeep().calls().proposal().get();
        setCalls(context, context.state.upkeep().calls().afterSuccess(false).withNextRead(nextReadMs(context)));
        RosterChain chain = new RosterChain(revision, rosters);
        RosterSync.adopt(context, chain);
        chain.members()
                .filter(id -> !id.equals(context.self))
                .forEach(id -> context.send(id, new ClaimMessage.RosterNews(chain)));
    }

    private static long nextReadMs(ClaimContext context) {
        if (context.state.chain().isEmpty() || writer(context).contains(context.self)) {
            return context.nowMs + jitter(context, WRITER_READ_INTERVAL_MS);
        }
        boolean member = context.state.chain().get().includes(context.self);
        return context.nowMs + jitter(context, member ? MEMBER_READ_INTERVAL_MS : NON_MEMBER_READ_INTERVAL_MS);
    }

    private static void onCallFailed(ClaimContext context) {
        ServiceCalls calls = context.state.upkeep().calls();
        long maxDelayMs = INITIAL_BACKOFF_MS << Math.min(calls.failures(), MAX_BACKOFF_DOUBLINGS);
        setCalls(context, calls.afterFailure(context.nowMs + jitter(context, maxDelayMs)));
    }

    /**
     * Returns a pseudo-random delay in the second half of the given one, so that calls of different nodes are spread
     * out.
     */
    private static long jitter(ClaimContext context, long maxDelayMs) {
        long random = SplitMix64.mix(context.view.self().seed() ^ context.nowMs);
        return maxDelayMs / 2 + Long.remainderUnsigned(random, maxDelayMs / 2 + 1);
    }

    private static void setCalls(ClaimContext context, ServiceCalls next) {
        context.state = context.state.with(context.state.upkeep().with(next));
    }

    /**
     * Returns since when each missing node has been missing, given the earlier times; drops nodes no longer missing.
     */
    static TreeMap<NodeId, Long> trackMissing(TreeMap<NodeId, Long> since, Vector<NodeId> missing, long nowMs) {
        TreeMap<NodeId, Long> next = TreeMap.empty();
        for (NodeId id : missing) {
            next = next.put(id, since.getOrElse(id, nowMs));
        }
        return next;
    }
}
