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
 * Obtains claims for this node's requests: sends each claim to the owners of its key, and grants or denies it according
 * to their verdicts.
 */
final class Requester {
    /** Time within which a claim must be granted, in milliseconds; after it the claim is denied. */
    static final long TIMEOUT_MS = 1_000;

    private static final long RETRY_DELAY_MS = 250;
    private static final int MAX_SETTLEMENT_SENDS = 5;

    private Requester() {}

    static void onWanted(ClaimContext context, ClaimEvent.Wanted wanted) {
        RequesterClaims claims = context.state.asking();
        if (claims.granted().containsKey(wanted.id())) {
            context.emit(new Effect.Raise(new RequestEvent.ClaimGranted(wanted.id())));
            return;
        }
        if (claims.pending().values().exists(p -> p.request().equals(wanted.id()))) {
            return;
        }
        if (context.state.chain().isEmpty()) {
            deny(context, wanted.id(), wanted.key(), Denial.UNDECIDED);
            return;
        }
        long number = claims.lastNumber() + 1;
        PendingClaim pending = new PendingClaim(wanted.id(), wanted.key(), context.nowMs + TIMEOUT_MS, HashMap.empty());
        context.state = context.state.with(claims.with(number, pending));
        sendRequests(context, number, pending);
        context.schedule(RETRY_DELAY_MS, new ClaimEvent.RetryDue(number));
    }

    private static void sendRequests(ClaimContext context, long number, PendingClaim pending) {
        ClaimId id = new ClaimId(context.self, number);
        Request request = new Request(id, pending.key(), context.state.revision());
        context.state
                .chain()
                .get()
                .owners(pending.key())
                .filter(o -> !pending.verdicts().containsKey(o))
                .forEach(o -> context.send(o, request));
    }

    static void onRetryDue(ClaimContext context, long number) {
        PendingClaim pending = context.state.asking().pending().get(number).getOrNull();
        if (pending == null) {
            return;
        }
        if (context.nowMs >= pending.deadlineMs()) {
            abandon(context, number, pending, Denial.UNDECIDED);
            RosterSync.queryAnyPeer(context, number);
            return;
        }
        sendRequests(context, number, pending);
        context.schedule(
                Math.min(RETRY_DELAY_MS, pending.deadlineMs() - context.nowMs), new ClaimEvent.RetryDue(number));
    }

    /** Sends the undecided claims to owners added by new rosters, and decides them where the verdicts now suffice. */
    static void onRostersChanged(ClaimContext context) {
        context.state.asking().pending().forEach((number, pending) -> {
            sendRequests(context, number, pending);
            evaluate(context, number, pending);
        });
    }

    static void onReply(ClaimContext context, NodeId from, Reply reply) {
        context.sendRostersIfStale(from, reply.revision());
        long number = reply.id().number();
        PendingClaim pending = context.state.asking().pending().get(number).getOrNull();
        boolean own = reply.id().requester().equals(context.self);
        if (!own || pending == null) {
            return;
        }
        if (reply.verdict() == Verdict.NOT_READY || reply.verdict() == Verdict.STALE) {
            return;
        }
        PendingClaim next = pending.with(from, reply.verdict());
        context.state = context.state.with(context.state.asking().with(number, next));
        evaluate(context, number, next);
    }

    private static void evaluate(ClaimContext context, long number, PendingClaim pending) {
        if (context.nowMs >= pending.deadlineMs()) {
            return;
        }
        RosterChain chain = context.state.chain().get();
        if (chain.rosters().forAll(r -> isGranted(r, pending))) {
            grant(context, number, pending);
        } else if (chain.rosters().exists(r -> isRefused(r, pending))) {
            abandon(context, number, pending, denialReason(pending));
        }
    }

    private static boolean isGranted(Roster roster, PendingClaim pending) {
        Vector<NodeId> owners = roster.owners(pending.key());
        return owners.count(o -> isGrantedBy(pending, o)) >= Roster.majority(owners.size());
    }

    private static boolean isRefused(Roster roster, PendingClaim pending) {
        Vector<NodeId> owners = roster.owners(pending.key());
        int refusals = owners.count(o -> pending.verdicts().containsKey(o) && !isGrantedBy(pending, o));
        return owners.size() - refusals < Roster.majority(owners.size());
    }

    private static boolean isGrantedBy(PendingClaim pending, NodeId owner) {
        return pending.verdicts().get(owner).contains(Verdict.GRANTED);
    }

    private static Denial denialReason(PendingClaim pending) {
        Option<Verdict> strongest = pending.verdicts().values().maxBy(Comparator.naturalOrder());
        return switch (strongest.get()) {
            case PENDING -> Denial.IN_PROGRESS;
            case UNKNOWN -> Denial.OUTCOME_UNKNOWN;
            case ANSWERED -> Denial.ALREADY_ANSWERED;
            default -> Denial.UNDECIDED;
        };
    }

    private static void grant(ClaimContext context, long number, PendingClaim pending) {
        HashSet<NodeId> owners = HashSet.ofAll(pending.verdicts().keySet());
        GrantedClaim granted =
                new GrantedClaim(number, pending.key(), owners, context.nowMs + context.claimLifetimeMs());
        RequesterClaims claims = context.state.asking().withoutPending(number).with(pending.request(), granted);
        context.state = context.state.with(claims);
        context.emit(new Effect.Raise(new RequestEvent.ClaimGranted(pending.request())));
    }

    private static void abandon(ClaimContext context, long number, PendingClaim pending, Denial denial) {
        context.state = context.state.with(context.state.asking().withoutPending(number));
        startSettlement(
                context,
                number,
                pending.key(),
                ClaimStatus.RELEASED,
                HashSet.ofAll(pending.verdicts().keySet()));
        deny(context, pending.request(), pending.key(), denial);
    }

    private static void deny(ClaimContext context, RequestId request, String key, Denial denial) {
        if (denial == Denial.UNDECIDED) {
            context.emit(new Effect.Log(EventCode.CLAIM_UNDECIDED, request + " key " + key));
        }
        context.emit(new Effect.Raise(new RequestEvent.ClaimDenied(request, denial)));
    }

    static void onSettled(ClaimContext context, ClaimEvent.Settled settled) {
        RequesterClaims claims = context.state.asking();
        ClaimStatus status = toStatus(settled.settlement());
        GrantedClaim granted = claims.granted().get(settled.id()).getOrNull();
        if (granted != null) {
            context.state = context.state.with(claims.withoutGranted(settled.id()));
            startSettlement(context, granted.number(), granted.key(), status, granted.owners());
            return;
        }
        claims.pending().filterValues(p -> p.request().equals(settled.id())).forEach((number, pending) -> {
            context.state = context.state.with(context.state.asking().withoutPending(number));
            startSettlement(context, number, pending.key(), ClaimStatus.RELEASED, HashSet.empty());
        });
    }

    private static ClaimStatus toStatus(ClaimEvent.Settlement settlement) {
        return switch (settlement) {
            case ANSWERED -> ClaimStatus.ANSWERED;
            case NOT_RUN -> ClaimStatus.RELEASED;
            case UNKNOWN -> ClaimStatus.UNKNOWN;
        };
    }

    private static void startSettlement(
            ClaimContext context, long number, String key, ClaimStatus status, HashSet<NodeId> asked) {
        HashSet<NodeId> owners = asked.addAll(context.state.chain().get().owners(key));
        PendingSettlement settlement = new PendingSettlement(key, status, owners, MAX_SETTLEMENT_SENDS);
        context.state = context.state.with(context.state.asking().with(number, settlement));
        sendSettlement(context, number, settlement);
    }

    static void resendSettlements(ClaimContext context) {
        context.state.asking().settling().forEach((number, settlement) -> sendSettlement(context, number, settlement));
    }

    private static void sendSettlement(ClaimContext context, long number, PendingSettlement settlement) {
        ClaimId id = new ClaimId(context.self, number);
        settlement.left().forEach(o -> context.send(o, new Settle(id, settlement.key(), settlement.status())));
        PendingSettlement next = new PendingSettlement(
                settlement.key(), settlement.status(), settlement.left(), settlement.triesLeft() - 1);
        context.state = context.state.with(context.state.asking().with(number, next));
    }

    static void onSettleAck(ClaimContext context, NodeId from, ClaimId id) {
        PendingSettlement settlement =
                context.state.asking().settling().get(id.number()).getOrNull();
        if (settlement == null || !id.requester().equals(context.self)) {
            return;
        }
        PendingSettlement next = new PendingSettlement(
                settlement.key(), settlement.status(), settlement.left().remove(from), settlement.triesLeft());
        context.state = context.state.with(context.state.asking().with(id.number(), next));
    }
}
