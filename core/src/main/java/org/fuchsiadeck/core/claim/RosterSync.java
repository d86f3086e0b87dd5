package org.fuchsiadeck.core.claim;

import io.vavr.collection.HashSet;
import io.vavr.collection.Set;
import io.vavr.collection.Vector;
import org.fuchsiadeck.core.Effect;
import org.fuchsiadeck.core.EventCode;
import org.fuchsiadeck.core.claim.ClaimMessage.Digest;
import org.fuchsiadeck.core.claim.ClaimMessage.HeldClaim;
import org.fuchsiadeck.core.claim.ClaimMessage.Pull;
import org.fuchsiadeck.core.claim.ClaimMessage.PullReply;
import org.fuchsiadeck.core.model.NodeId;

/**
 * Synchronizes the rosters between nodes by exchanging digests, and transfers the claims of earlier rosters to the
 * members of the newest.
 */
final class RosterSync {
    private static final int KEYS_PER_REPLY = 200;
    /** Members that are not among the peers are asked for claims only every this many rounds. */
    private static final int ROUNDS_PER_ABSENT_PULL = 8;

    private RosterSync() {}

    /** Uses the given rosters from now on if they are newer than the current ones. */
    static void adopt(ClaimContext context, RosterChain chain) {
        if (chain.revision() <= context.state.revision()) {
            return;
        }
        boolean newestChanged = context.state
                .chain()
                .forAll(c -> c.newest().basedOn() != chain.newest().basedOn());
        context.state = context.state.with(chain);
        Set<NodeId> members = HashSet.ofAll(chain.members());
        context.state = context.state.with(context.state.contacts().retain(members));
        Requester.onRostersChanged(context);
        if (!newestChanged) {
            return;
        }
        context.state = context.state.with(Takeover.start(chain, context.self));
        context.state = context.state.with(context.state.upkeep().withNewestSince(context.nowMs));
        String ids = chain.newest().members().keySet().mkString(" ");
        context.emit(new Effect.Log(EventCode.ROSTER_CHANGED, "revision " + chain.revision() + ": " + ids));
        if (chain.includes(context.self)) {
            otherNewestMembers(context).forEach(id -> sendDigest(context, id));
            sendPulls(context);
        }
    }

    private static Vector<NodeId> otherNewestMembers(ClaimContext context) {
        return context.state
                .chain()
                .get()
                .newest()
                .members()
                .keySet()
                .toVector()
                .remove(context.self);
    }

    /**
     * Exchanges digests with one member of the newest roster, round robin. While claims are being taken over, also
     * reports the progress to the writer of the rosters and requests further claims.
     */
    static void runRound(ClaimContext context) {
        long round = context.state.upkeep().round();
        if (context.state.chain().isEmpty()) {
            queryAnyPeer(context, round);
            return;
        }
        if (!context.state.chain().get().includes(context.self)) {
            return;
        }
        pick(otherNewestMembers(context), round).forEach(id -> sendDigest(context, id));
        if (context.state.chain().get().rosters().size() > 1) {
            RosterStore.writer(context).filter(id -> !id.equals(context.self)).forEach(id -> sendDigest(context, id));
            recordTakeover(context, context.self, newDigest(context, true, 0));
            sendPulls(context);
        }
    }

    /** Sends a digest to a peer to obtain rosters, when this node has none or the owners do not answer. */
    static void queryAnyPeer(ClaimContext context, long index) {
        Vector<NodeId> peers = Vector.ofAll(context.view.peers().alive().keySet());
        pick(peers, index).forEach(id -> sendDigest(context, id));
    }

    private static Vector<NodeId> pick(Vector<NodeId> nodes, long index) {
        return nodes.isEmpty() ? nodes : Vector.of(nodes.get((int) (index % nodes.size())));
    }

    private static void sendDigest(ClaimContext context, NodeId to) {
        context.send(to, newDigest(context, false, context.nowMs));
    }

    private static Digest newDigest(ClaimContext context, boolean reply, long sentMs) {
        ClaimState state = context.state;
        long newest = state.chain().map(c -> c.newest().basedOn()).getOrElse(-1L);
        Vector<Long> takenOver =
                state.chain().map(c -> state.takeover().takenOver(c)).getOrElse(Vector.empty());
        return new Digest(reply, sentMs, state.revision(), newest, takenOver.asJava());
    }

    static void onDigest(ClaimContext context, NodeId from, Digest digest) {
        recordRevision(context, from, digest.revision());
        if (!digest.reply()) {
            context.send(from, newDigest(context, true, digest.sentMs()));
        } else if (digest.revision() <= context.state.revision()) {
            context.state = context.state.with(context.state.contacts().withConfirmation(from, digest.sentMs()));
        }
        recordTakeover(context, from, digest);
        context.sendRostersIfStale(from, digest.revision());
    }

    private static void recordRevision(ClaimContext context, NodeId from, long revision) {
        if (context.state.chain().exists(c -> c.members().contains(from))) {
            context.state = context.state.with(context.state.contacts().withRevision(from, revision));
        }
    }

    private static void recordTakeover(ClaimContext context, NodeId from, Digest digest) {
        if (context.state.chain().exists(c -> c.newest().basedOn() == digest.newestBaseRevision())) {
            context.state = context.state.with(context.state.takeover().withReport(from, digest.takenOver()));
        }
    }

    private static void sendPulls(ClaimContext context) {
        RosterChain chain = context.state.chain().get();
        Takeover takeover = context.state.takeover();
        if (takeover.takenOver(chain).size() == chain.earlier().size()) {
            return;
        }
        boolean includeAbsent = context.state.upkeep().round() % ROUNDS_PER_ABSENT_PULL == 0;
        takeover.cursors().forEach((id, afterKey) -> {
            if (includeAbsent || context.view.peers().alive().containsKey(id)) {
                context.send(id, new Pull(chain, afterKey));
            }
        });
    }

    static void onPull(ClaimContext context, NodeId from, Pull pull) {
        adopt(context, pull.chain());
        context.sendRostersIfStale(from, pull.chain().revision());
        Roster newest = context.state.chain().get().newest();
        if (newest.basedOn() != pull.chain().newest().basedOn()) {
            return;
        }
        Vector<String> keys = context.state
                .ledger()
                .keysAfter(
                        pull.afterKey(),
                        KEYS_PER_REPLY,
                        k -> newest.owners(k).contains(from)
                                && Owner.heldClaims(context, k).nonEmpty());
        Vector<HeldClaim> claims = keys.flatMap(k -> Owner.heldClaims(context, k));
        boolean last = keys.size() < KEYS_PER_REPLY;
        context.send(
                from,
                new PullReply(newest.basedOn(), pull.afterKey(), claims.asJava(), last, context.state.revision()));
    }

    static void onPullReply(ClaimContext context, NodeId from, PullReply reply) {
        recordRevision(context, from, reply.revision());
        reply.claims().forEach(c -> Owner.importClaim(context, c));
        Takeover takeover = context.state.takeover();
        boolean current = context.state.chain().exists(c -> c.newest().basedOn() == reply.newestBaseRevision());
        if (!current || !takeover.cursors().get(from).contains(reply.afterKey())) {
            return;
        }
        if (reply.last()) {
            context.state = context.state.with(takeover.complete(from));
            reportToWriter(context);
            return;
        }
        String lastKey = reply.claims().get(reply.claims().size() - 1).key();
        context.state = context.state.with(takeover.advance(from, lastKey));
        context.send(from, new Pull(context.state.chain().get(), lastKey));
    }

    private static void reportToWriter(ClaimContext context) {
        RosterChain chain = context.state.chain().get();
        if (context.state.takeover().takenOver(chain).size() == chain.earlier().size()) {
            RosterStore.writer(context).forEach(id -> context.send(id, newDigest(context, true, 0)));
        }
    }
}
