package org.fuchsiadeck.core.claim;

import java.util.Comparator;

import io.vavr.collection.Set;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import org.fuchsiadeck.core.claim.ClaimMessage.HeldClaim;
import org.fuchsiadeck.core.claim.ClaimMessage.Reply;
import org.fuchsiadeck.core.claim.ClaimMessage.Request;
import org.fuchsiadeck.core.claim.ClaimMessage.Settle;
import org.fuchsiadeck.core.claim.ClaimMessage.Verdict;
import org.fuchsiadeck.core.config.Route;
import org.fuchsiadeck.core.model.NodeId;

/**
 * The part of an owner: it records the first claim on a key and refuses later ones.
 */
final class Owner {
    /** How long the release of a claim is remembered, so that a late request for it is refused, in milliseconds. */
    private static final long RELEASED_MS = 60_000;

    private static final long DEFAULT_DEADLINE_MS = 60_000;

    private Owner() {}

    static void handleRequest(ClaimContext turn, NodeId from, Request request) {
        Verdict verdict = decide(turn, request);
        turn.send(from, new Reply(request.id(), verdict, turn.state.revision()));
        turn.updateIfStale(from, request.revision());
    }

    private static Verdict decide(ClaimContext turn, Request request) {
        if (request.revision() < turn.state.revision()) {
            return Verdict.STALE;
        }
        if (!fresh(turn)) {
            return Verdict.NOT_READY;
        }
        Vector<Claim> claims = turn.state.ownerClaims().claims(request.key());
        Option<Claim> own = claims.find(c -> c.id().equals(request.id()));
        if (own.exists(c -> c.status() == ClaimStatus.RELEASED)) {
            return Verdict.NOT_READY;
        }
        Option<Verdict> other = claims.filter(c -> !c.id().equals(request.id()) && c.isActive(turn.nowMs))
                .map(c -> verdict(turn, c))
                .maxBy(Comparator.naturalOrder());
        if (other.isDefined()) {
            return other.get();
        }
        record(turn, request.id(), request.key(), ClaimStatus.PENDING, turn.claimLifetimeMs() + Requester.TIMEOUT_MS);
        return Verdict.GRANTED;
    }

    /** Tells whether a majority of the newest roster went by none newer a short while ago. */
    private static boolean fresh(ClaimContext turn) {
        if (turn.state.chain().isEmpty()) {
            return false;
        }
        Set<NodeId> agreed = turn.state
                .peerRevisions()
                .confirmedSince(turn.nowMs - PeerRevisions.CONFIRMATION_TTL_MS)
                .add(turn.self);
        return turn.state.chain().get().newest().hasMajority(agreed);
    }

    private static Verdict verdict(ClaimContext turn, Claim claim) {
        if (claim.status() == ClaimStatus.ANSWERED) {
            return Verdict.ANSWERED;
        }
        boolean overdue = turn.nowMs - claim.sinceMs() > longestDeadlineMs(turn);
        return claim.status() == ClaimStatus.UNKNOWN || overdue ? Verdict.UNKNOWN : Verdict.PENDING;
    }

    private static long longestDeadlineMs(ClaimContext turn) {
        return turn.view.config().routes().stream()
                .mapToLong(Route::deadlineMs)
                .max()
                .orElse(DEFAULT_DEADLINE_MS);
    }

    private static void record(ClaimContext turn, ClaimId id, String key, ClaimStatus status, long leftMs) {
        Claim claim = new Claim(id, status, turn.nowMs, turn.nowMs + leftMs);
        turn.state = turn.state.with(turn.state.ownerClaims().add(key, claim));
    }

    static void handleSettle(ClaimContext turn, NodeId from, Settle settle) {
        boolean released = settle.status() == ClaimStatus.RELEASED;
        record(turn, settle.id(), settle.key(), settle.status(), released ? RELEASED_MS : turn.claimLifetimeMs());
        turn.send(from, new ClaimMessage.SettleAck(settle.id()));
    }

    static Vector<HeldClaim> heldClaims(ClaimContext turn, String key) {
        return turn.state
                .ownerClaims()
                .claims(key)
                .filter(c -> turn.nowMs < c.expiresMs())
                .map(c -> heldClaims(turn, key, c));
    }

    private static HeldClaim heldClaims(ClaimContext turn, String key, Claim c) {
        return new HeldClaim(key, c.id(), c.status(), turn.nowMs - c.sinceMs(), c.expiresMs() - turn.nowMs);
    }

    static void importClaim(ClaimContext turn, HeldClaim c) {
        Claim claim = new Claim(c.id(), c.status(), turn.nowMs - c.ageMs(), turn.nowMs + c.leftMs());
        turn.state = turn.state.with(turn.state.ownerClaims().add(c.key(), claim));
    }
}
