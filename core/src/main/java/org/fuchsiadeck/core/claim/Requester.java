package org.fuchsiadeck.core.claim;

import java.util.Comparator;

import io.vavr.collection.HashMap;
import io.vavr.collection.HashSet;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import org.fuchsiadeck.core.Effect;
import org.fuchsiadeck.core.EventCode;
import org.fuchsiadeck.core.claim.ClaimMessage.Reply;
import org.fuchsiadeck.core.claim.ClaimMessage.Request;
import org.fuchsiadeck.core.claim.ClaimMessage.Settle;
import org.fuchsiadeck.core.claim.ClaimMessage.Verdict;
import org.fuchsiadeck.core.claim.RequesterClaims.GrantedClaim;
import org.fuchsiadeck.core.claim.RequesterClaims.PendingClaim;
import org.fuchsiadeck.core.claim.RequesterClaims.PendingSettlement;
import org.fuchsiadeck.core.model.NodeId;
import org.fuchsiadeck.core.model.RequestId;
import org.fuchsiadeck.core.request.RequestEvent;
import org.fuchsiadeck.core.request.RequestEvent.Denial;

/**
 * The part of the node a request is at: it asks the owners of the key, and decides when enough of them have answered.
 */
final class Requester {
    /** How long a claim may take to be granted, in milliseconds. */
    static final long TIMEOUT_MS = 1_000;

    private static final long RETRY_MS = 250;
    private static final int SETTLE_TRIES = 5;

    private Requester() {}

    static void handleWanted(ClaimContext turn, ClaimEvent.Wanted wanted) {
        RequesterClaims asking = turn.state.requesterClaims();
        if (asking.granted().containsKey(wanted.id())) {
            turn.emit(new Effect.Raise(new RequestEvent.ClaimGranted(wanted.id())));
            return;
        }
        if (asking.pending().values().exists(p -> p.request().equals(wanted.id()))) {
            return;
        }
        if (turn.state.chain().isEmpty()) {
            deny(turn, wanted.id(), wanted.key(), Denial.UNDECIDED);
            return;
        }
        long number = asking.lastNumber() + 1;
        PendingClaim pending = new PendingClaim(wanted.id(), wanted.key(), turn.nowMs + TIMEOUT_MS, HashMap.empty());
        turn.state = turn.state.with(asking.with(number, pending));
        ask(turn, number, pending);
        turn.schedule(RETRY_MS, new ClaimEvent.RetryDue(number));
    }

    private static void ask(ClaimContext turn, long number, PendingClaim pending) {
        ClaimId id = new ClaimId(turn.self, number);
        Request request = new Request(id, pending.key(), turn.state.revision());
        turn.state
                .chain()
                .get()
                .owners(pending.key())
                .filter(o -> !pending.verdicts().containsKey(o))
                .forEach(o -> turn.send(o, request));
    }

    static void handleRetryDue(ClaimContext turn, long number) {
        PendingClaim pending =
                turn.state.requesterClaims().pending().get(number).getOrNull();
        if (pending == null) {
            return;
        }
        if (turn.nowMs >= pending.deadlineMs()) {
            giveUp(turn, number, pending, Denial.UNDECIDED);
            RosterSync.queryAnyPeer(turn, number);
            return;
        }
        ask(turn, number, pending);
        turn.schedule(Math.min(RETRY_MS, pending.deadlineMs() - turn.nowMs), new ClaimEvent.RetryDue(number));
    }

    /** Asks the owners that newly learnt rosters add, and decides where those that have answered suffice now. */
    static void handleRostersChanged(ClaimContext turn) {
        turn.state.requesterClaims().pending().forEach((number, pending) -> {
            ask(turn, number, pending);
            evaluate(turn, number, pending);
        });
    }

    static void handleReply(ClaimContext turn, NodeId from, Reply reply) {
        turn.updateIfStale(from, reply.revision());
        long number = reply.id().number();
        PendingClaim pending =
                turn.state.requesterClaims().pending().get(number).getOrNull();
        boolean ours = reply.id().requester().equals(turn.self);
        if (!ours || pending == null) {
            return;
        }
        if (reply.verdict() == Verdict.NOT_READY || reply.verdict() == Verdict.STALE) {
            return;
        }
        PendingClaim next = pending.with(from, reply.verdict());
        turn.state = turn.state.with(turn.state.requesterClaims().with(number, next));
        evaluate(turn, number, next);
    }

    private static void evaluate(ClaimContext turn, long number, PendingClaim pending) {
        if (turn.nowMs >= pending.deadlineMs()) {
            return;
        }
        RosterChain chain = turn.state.chain().get();
        if (chain.rosters().forAll(r -> granted(r, pending))) {
            grant(turn, number, pending);
        } else if (chain.rosters().exists(r -> refused(r, pending))) {
            giveUp(turn, number, pending, denial(pending));
        }
    }

    private static boolean granted(Roster roster, PendingClaim pending) {
        Vector<NodeId> owners = roster.owners(pending.key());
        return owners.count(o -> grantedBy(pending, o)) >= Roster.majority(owners.size());
    }

    private static boolean refused(Roster roster, PendingClaim pending) {
        Vector<NodeId> owners = roster.owners(pending.key());
        int refusals = owners.count(o -> pending.verdicts().containsKey(o) && !grantedBy(pending, o));
        return owners.size() - refusals < Roster.majority(owners.size());
    }

    private static boolean grantedBy(PendingClaim pending, NodeId owner) {
        return pending.verdicts().get(owner).contains(Verdict.GRANTED);
    }

    private static Denial denial(PendingClaim pending) {
        Option<Verdict> strongest = pending.verdicts().values().maxBy(Comparator.naturalOrder());
        return switch (strongest.get()) {
            case PENDING -> Denial.IN_PROGRESS;
            case UNKNOWN -> Denial.OUTCOME_UNKNOWN;
            case ANSWERED -> Denial.ALREADY_ANSWERED;
            default -> Denial.UNDECIDED;
        };
    }

    private static void grant(ClaimContext turn, long number, PendingClaim pending) {
        HashSet<NodeId> owners = HashSet.ofAll(pending.verdicts().keySet());
        GrantedClaim granted = new GrantedClaim(number, pending.key(), owners, turn.nowMs + turn.claimLifetimeMs());
        RequesterClaims asking =
                turn.state.requesterClaims().withoutPending(number).with(pending.request(), granted);
        turn.state = turn.state.with(asking);
        turn.emit(new Effect.Raise(new RequestEvent.ClaimGranted(pending.request())));
    }

    private static void giveUp(ClaimContext turn, long number, PendingClaim pending, Denial denial) {
        turn.state = turn.state.with(turn.state.requesterClaims().withoutPending(number));
        settle(
                turn,
                number,
                pending.key(),
                ClaimStatus.RELEASED,
                HashSet.ofAll(pending.verdicts().keySet()));
        deny(turn, pending.request(), pending.key(), denial);
    }

    private static void deny(ClaimContext turn, RequestId request, String key, Denial denial) {
        if (denial == Denial.UNDECIDED) {
            turn.emit(new Effect.Log(EventCode.CLAIM_UNDECIDED, request + " key " + key));
        }
        turn.emit(new Effect.Raise(new RequestEvent.ClaimDenied(request, denial)));
    }

    static void handleSettled(ClaimContext turn, ClaimEvent.Settled settled) {
        RequesterClaims asking = turn.state.requesterClaims();
        ClaimStatus status = status(settled.settlement());
        GrantedClaim granted = asking.granted().get(settled.id()).getOrNull();
        if (granted != null) {
            turn.state = turn.state.with(asking.withoutGranted(settled.id()));
            settle(turn, granted.number(), granted.key(), status, granted.owners());
            return;
        }
        asking.pending().filterValues(p -> p.request().equals(settled.id())).forEach((number, pending) -> {
            turn.state = turn.state.with(turn.state.requesterClaims().withoutPending(number));
            settle(turn, number, pending.key(), ClaimStatus.RELEASED, HashSet.empty());
        });
    }

    private static ClaimStatus status(ClaimEvent.Settlement settlement) {
        return switch (settlement) {
            case ANSWERED -> ClaimStatus.ANSWERED;
            case NOT_RUN -> ClaimStatus.RELEASED;
            case UNKNOWN -> ClaimStatus.UNKNOWN;
        };
    }

    private static void settle(ClaimContext turn, long number, String key, ClaimStatus status, HashSet<NodeId> asked) {
        HashSet<NodeId> owners = asked.addAll(turn.state.chain().get().owners(key));
        PendingSettlement end = new PendingSettlement(key, status, owners, SETTLE_TRIES);
        turn.state = turn.state.with(turn.state.requesterClaims().with(number, end));
        resend(turn, number, end);
    }

    static void resendSettlements(ClaimContext turn) {
        turn.state.requesterClaims().settlements().forEach((number, end) -> resend(turn, number, end));
    }

    private static void resend(ClaimContext turn, long number, PendingSettlement end) {
        ClaimId id = new ClaimId(turn.self, number);
        end.unacknowledged().forEach(o -> turn.send(o, new Settle(id, end.key(), end.status())));
        PendingSettlement next =
                new PendingSettlement(end.key(), end.status(), end.unacknowledged(), end.sendsLeft() - 1);
        turn.state = turn.state.with(turn.state.requesterClaims().with(number, next));
    }

    static void handleSettleAck(ClaimContext turn, NodeId from, ClaimId id) {
        PendingSettlement end =
                turn.state.requesterClaims().settlements().get(id.number()).getOrNull();
        if (end == null || !id.requester().equals(turn.self)) {
            return;
        }
        PendingSettlement next = new PendingSettlement(
                end.key(), end.status(), end.unacknowledged().remove(from), end.sendsLeft());
        turn.state = turn.state.with(turn.state.requesterClaims().with(id.number(), next));
    }
}
