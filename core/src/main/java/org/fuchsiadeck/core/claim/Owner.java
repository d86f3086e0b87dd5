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
 * Decides claims on the keys that this node owns: stores the first claim on a key and refuses later ones.
 */
final class Owner {
    /** How long a released claim is kept, so that a delayed request for it is refused, in milliseconds. */
    private static final long RELEASE_RETENTION_MS = 60_000;

    /** The deadline assumed for requests if no route is configured, in milliseconds. */
    private static final long DEFAULT_DEADLINE_MS = 60_000;

    private Owner() {}

    static void onRequest(ClaimContext context, NodeId from, Request request) {
        Verdict verdict = decide(context, request);
        context.send(from, new Reply(request.id(), verdict, context.state.revision()));
        context.sendRostersIfStale(from, request.revision());
    }

    private static Verdict decide(ClaimContext context, Request request) {
        if (request.revision() < context.state.revision()) {
            return Verdict.STALE;
        }
        if (!isConfirmedByMajority(context)) {
            return Verdict.NOT_READY;
        }
        Vector<Claim> claims = context.state.ledger().claims(request.key());
        Option<Claim> own = claims.find(c -> c.id().equals(request.id()));
        if (own.exists(c -> c.status() == ClaimStatus.RELEASED)) {
            return Verdict.NOT_READY;
        }
        Option<Verdict> conflict = claims.filter(c -> !c.id().equals(request.id()) && c.isActive(context.nowMs))
                .map(c -> verdictOn(context, c))
                .maxBy(Comparator.naturalOrder());
        if (conflict.isDefined()) {
            return conflict.get();
        }
        store(
                context,
                request.id(),
                request.key(),
                ClaimStatus.PENDING,
                context.claimLifetimeMs() + Requester.TIMEOUT_MS);
        return Verdict.GRANTED;
    }

    /** Returns whether a majority of the newest roster recently confirmed that it uses no newer one. */
    private static boolean isConfirmedByMajority(ClaimContext context) {
        if (context.state.chain().isEmpty()) {
            return false;
        }
        Set<NodeId> confirmed = context.state
                .contacts()
                .confirmedSince(context.nowMs - PeerRevisions.CONFIRMATION_TTL_MS)
                .add(context.self);
        return context.state.chain().get().newest().hasMajority(confirmed);
    }

    private static Verdict verdictOn(ClaimContext context, Claim claim) {
        if (claim.status() == ClaimStatus.ANSWERED) {
            return Verdict.ANSWERED;
        }
        boolean overdue = context.nowMs - claim.sinceMs() > longestDeadlineMs(context);
        return claim.status() == ClaimStatus.UNKNOWN || overdue ? Verdict.UNKNOWN : Verdict.PENDING;
    }

    private static long longestDeadlineMs(ClaimContext context) {
        return context.view.config().routes().stream()
                .mapToLong(Route::deadlineMs)
                .max()
                .orElse(DEFAULT_DEADLINE_MS);
    }

    private static void store(ClaimContext context, ClaimId id, String key, ClaimStatus status, long ttlMs) {
        Claim claim = new Claim(id, status, context.nowMs, context.nowMs + ttlMs);
        context.state = context.state.with(context.state.ledger().add(key, claim));
    }

    static void onSettle(ClaimContext context, NodeId from, Settle settle) {
        boolean released = settle.status() == ClaimStatus.RELEASED;
        store(
                context,
                settle.id(),
                settle.key(),
                settle.status(),
                released ? RELEASE_RETENTION_MS : context.claimLifetimeMs());
        context.send(from, new ClaimMessage.SettleAck(settle.id()));
    }

    static Vector<HeldClaim> heldClaims(ClaimContext context, String key) {
        return context.state
                .ledger()
                .claims(key)
                .filter(c -> context.nowMs < c.expiresMs())
                .map(c -> toHeldClaim(context, key, c));
    }

    private static HeldClaim toHeldClaim(ClaimContext context, String key, Claim c) {
        return new HeldClaim(key, c.id(), c.status(), context.nowMs - c.sinceMs(), c.expiresMs() - context.nowMs);
    }

    static void importClaim(ClaimContext context, HeldClaim held) {
        Claim claim =
                new Claim(held.id(), held.status(), context.nowMs - held.ageMs(), context.nowMs + held.remainingMs());
        context.state = context.state.with(context.state.ledger().add(held.key(), claim));
    }
}
