package org.fuchsiadeck.core.claim;

import java.util.Comparator;

import io.vavr.collection.HashMap;
import io.vavr.collection.HashSet;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import org.fuchsiadeck.core.Effect;
import org.fuchsiadeck.core.EventCode;
import org.fuchsiadeck.core.claim.Asking.Granted;
import org.fuchsiadeck.core.claim.Asking.Pending;
import org.fuchsiadeck.core.claim.Asking.Settling;
import org.fuchsiadeck.core.claim.ClaimMessage.Reply;
import org.fuchsiadeck.core.claim.ClaimMessage.Request;
import org.fuchsiadeck.core.claim.ClaimMessage.Settle;
import org.fuchsiadeck.core.claim.ClaimMessage.Verdict;
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

    static void wanted(Turn turn, ClaimEvent.Wanted wanted) {
        Asking asking = turn.state.asking();
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
        Pending pending = new Pending(wanted.id(), wanted.key(), turn.nowMs + TIMEOUT_MS, HashMap.empty());
        turn.state = turn.state.with(asking.with(number, pending));
        ask(turn, number, pending);
        turn.schedule(RETRY_MS, new ClaimEvent.RetryDue(number));
    }

    private static void ask(Turn turn, long number, Pending pending) {
        ClaimId id = new ClaimId(turn.self, number);
        Request request = new Request(id, pending.key(), turn.state.revision());
        turn.state
                .chain()
                .get()
                .owners(pending.key())
                .filter(o -> !pending.verdicts().containsKey(o))
                .forEach(o -> turn.send(o, request));
    }

    static void retryDue(Turn turn, long number) {
        Pending pending = turn.state.asking().pending().get(number).getOrNull();
        if (pending == null) {
            return;
        }
        if (turn.nowMs >= pending.deadlineMs()) {
            giveUp(turn, number, pending, Denial.UNDECIDED);
            RosterSync.askAround(turn, number);
            return;
        }
        ask(turn, number, pending);
        turn.schedule(Math.min(RETRY_MS, pending.deadlineMs() - turn.nowMs), new ClaimEvent.RetryDue(number));
    }

    /** Asks the owners that newly learnt rosters add, and decides where those that have answered suffice now. */
    static void rostersChanged(Turn turn) {
        turn.state.asking().pending().forEach((number, pending) -> {
            ask(turn, number, pending);
            evaluate(turn, number, pending);
        });
    }

    static void replied(Turn turn, NodeId from, Reply reply) {
        turn.inform(from, reply.revision());
        long number = reply.id().number();
        Pending pending = turn.state.asking().pending().get(number).getOrNull();
        boolean ours = reply.id().requester().equals(turn.self);
        if (!ours || pending == null) {
            return;
        }
        if (reply.verdict() == Verdict.NOT_READY || reply.verdict() == Verdict.STALE) {
            return;
        }
        Pending next = pending.with(from, reply.verdict());
        turn.state = turn.state.with(turn.state.asking().with(number, next));
        evaluate(turn, number, next);
    }

    private static void evaluate(Turn turn, long number, Pending pending) {
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

    private static boolean granted(Roster roster, Pending pending) {
        Vector<NodeId> owners = roster.owners(pending.key());
        return owners.count(o -> grantedBy(pending, o)) >= Roster.majority(owners.size());
    }

    private static boolean refused(Roster roster, Pending pending) {
        Vector<NodeId> owners = roster.owners(pending.key());
        int refusals = owners.count(o -> pending.verdicts().containsKey(o) && !grantedBy(pending, o));
        return owners.size() - refusals < Roster.majority(owners.size());
    }

    private static boolean grantedBy(Pending pending, NodeId owner) {
        return pending.verdicts().get(owner).contains(Verdict.GRANTED);
    }

    private static Denial denial(Pending pending) {
        Option<Verdict> strongest = pending.verdicts().values().maxBy(Comparator.naturalOrder());
        return switch (strongest.get()) {
            case PENDING -> Denial.IN_PROGRESS;
            case UNKNOWN -> Denial.OUTCOME_UNKNOWN;
            case ANSWERED -> Denial.ALREADY_ANSWERED;
            default -> Denial.UNDECIDED;
        };
    }

    private static void grant(Turn turn, long number, Pending pending) {
        HashSet<NodeId> owners = HashSet.ofAll(pending.verdicts().keySet());
        Granted granted = new Granted(number, pending.key(), owners, turn.nowMs + turn.lifetimeMs());
        Asking asking = turn.state.asking().withoutPending(number).with(pending.request(), granted);
        turn.state = turn.state.with(asking);
        turn.emit(new Effect.Raise(new RequestEvent.ClaimGranted(pending.request())));
    }

    private static void giveUp(Turn turn, long number, Pending pending, Denial denial) {
        turn.state = turn.state.with(turn.state.asking().withoutPending(number));
        settle(
                turn,
                number,
                pending.key(),
                ClaimStatus.RELEASED,
                HashSet.ofAll(pending.verdicts().keySet()));
        deny(turn, pending.request(), pending.key(), denial);
    }

    private static void deny(Turn turn, RequestId request, String key, Denial denial) {
        if (denial == Denial.UNDECIDED) {
            turn.emit(new Effect.Log(EventCode.CLAIM_UNDECIDED, request + " key " + key));
        }
        turn.emit(new Effect.Raise(new RequestEvent.ClaimDenied(request, denial)));
    }

    static void settled(Turn turn, ClaimEvent.Settled settled) {
        Asking asking = turn.state.asking();
        ClaimStatus status = status(settled.settlement());
        Granted granted = asking.granted().get(settled.id()).getOrNull();
        if (granted != null) {
            turn.state = turn.state.with(asking.withoutGranted(settled.id()));
            settle(turn, granted.number(), granted.key(), status, granted.owners());
            return;
        }
        asking.pending().filterValues(p -> p.request().equals(settled.id())).forEach((number, pending) -> {
            turn.state = turn.state.with(turn.state.asking().withoutPending(number));
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

    private static void settle(Turn turn, long number, String key, ClaimStatus status, HashSet<NodeId> asked) {
        HashSet<NodeId> owners = asked.addAll(turn.state.chain().get().owners(key));
        Settling end = new Settling(key, status, owners, SETTLE_TRIES);
        turn.state = turn.state.with(turn.state.asking().with(number, end));
        resend(turn, number, end);
    }

    static void resendSettlements(Turn turn) {
        turn.state.asking().settling().forEach((number, end) -> resend(turn, number, end));
    }

    private static void resend(Turn turn, long number, Settling end) {
        ClaimId id = new ClaimId(turn.self, number);
        end.left().forEach(o -> turn.send(o, new Settle(id, end.key(), end.status())));
        Settling next = new Settling(end.key(), end.status(), end.left(), end.triesLeft() - 1);
        turn.state = turn.state.with(turn.state.asking().with(number, next));
    }

    static void acknowledged(Turn turn, NodeId from, ClaimId id) {
        Settling end = turn.state.asking().settling().get(id.number()).getOrNull();
        if (end == null || !id.requester().equals(turn.self)) {
            return;
        }
        Settling next = new Settling(end.key(), end.status(), end.left().remove(from), end.triesLeft());
        turn.state = turn.state.with(turn.state.asking().with(id.number(), next));
    }
}
