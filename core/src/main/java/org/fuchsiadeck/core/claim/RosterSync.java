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
 * Keeps the members of the rosters at the same revision, and takes the claims of earlier rosters over into the newest.
 */
final class RosterSync {
    private static final int KEYS_PER_REPLY = 200;
    private static final int ROUNDS_PER_ABSENT_PULL = 8;

    private RosterSync() {}

    /** Goes by the given rosters from now on, if they are newer than those known. */
    static void adopt(ClaimContext turn, RosterChain chain) {
        if (chain.revision() <= turn.state.revision()) {
            return;
        }
        boolean changed = turn.state
                .chain()
                .forAll(c -> c.newest().baseRevision() != chain.newest().baseRevision());
        turn.state = turn.state.with(chain);
        Set<NodeId> members = HashSet.ofAll(chain.members());
        turn.state = turn.state.with(turn.state.peerRevisions().retain(members));
        Requester.handleRostersChanged(turn);
        if (!changed) {
            return;
        }
        turn.state = turn.state.with(Takeover.start(chain, turn.self));
        turn.state = turn.state.with(turn.state.maintenance().withNewestSince(turn.nowMs));
        String ids = chain.newest().members().keySet().mkString(" ");
        turn.emit(new Effect.Log(EventCode.ROSTER_CHANGED, "revision " + chain.revision() + ": " + ids));
        if (chain.includes(turn.self)) {
            newestOthers(turn).forEach(id -> ask(turn, id));
            pull(turn);
        }
    }

    private static Vector<NodeId> newestOthers(ClaimContext turn) {
        return turn.state.chain().get().newest().members().keySet().toVector().remove(turn.self);
    }

    /** Asks one node in turn which rosters it goes by, and reports to the node that keeps the rosters. */
    static void runRound(ClaimContext turn) {
        long round = turn.state.maintenance().round();
        if (turn.state.chain().isEmpty()) {
            queryAnyPeer(turn, round);
            return;
        }
        if (!turn.state.chain().get().includes(turn.self)) {
            return;
        }
        pick(newestOthers(turn), round).forEach(id -> ask(turn, id));
        if (turn.state.chain().get().rosters().size() > 1) {
            RosterStore.writer(turn).filter(id -> !id.equals(turn.self)).forEach(id -> ask(turn, id));
            report(turn, turn.self, digest(turn, true, 0));
            pull(turn);
        }
    }

    /** Asks any peer for the rosters, because those known are missing or their owners do not answer. */
    static void queryAnyPeer(ClaimContext turn, long draw) {
        Vector<NodeId> peers = Vector.ofAll(turn.view.peers().alive().keySet());
        pick(peers, draw).forEach(id -> ask(turn, id));
    }

    private static Vector<NodeId> pick(Vector<NodeId> nodes, long round) {
        return nodes.isEmpty() ? nodes : Vector.of(nodes.get((int) (round % nodes.size())));
    }

    private static void ask(ClaimContext turn, NodeId to) {
        turn.send(to, digest(turn, false, turn.nowMs));
    }

    private static Digest digest(ClaimContext turn, boolean reply, long sentMs) {
        ClaimState state = turn.state;
        long newest = state.chain().map(c -> c.newest().baseRevision()).getOrElse(-1L);
        Vector<Long> takenOver =
                state.chain().map(c -> state.takeover().takenOver(c)).getOrElse(Vector.empty());
        return new Digest(reply, sentMs, state.revision(), newest, takenOver.asJava());
    }

    static void handleDigest(ClaimContext turn, NodeId from, Digest digest) {
        heard(turn, from, digest.revision());
        if (!digest.reply()) {
            turn.send(from, digest(turn, true, digest.sentMs()));
        } else if (digest.revision() <= turn.state.revision()) {
            turn.state = turn.state.with(turn.state.peerRevisions().withConfirmation(from, digest.sentMs()));
        }
        report(turn, from, digest);
        turn.updateIfStale(from, digest.revision());
    }

    private static void heard(ClaimContext turn, NodeId from, long revision) {
        if (turn.state.chain().exists(c -> c.members().contains(from))) {
            turn.state = turn.state.with(turn.state.peerRevisions().withRevision(from, revision));
        }
    }

    private static void report(ClaimContext turn, NodeId from, Digest digest) {
        if (turn.state.chain().exists(c -> c.newest().baseRevision() == digest.newestBaseRevision())) {
            turn.state = turn.state.with(turn.state.takeover().withReport(from, digest.takenOver()));
        }
    }

    private static void pull(ClaimContext turn) {
        RosterChain chain = turn.state.chain().get();
        Takeover takeover = turn.state.takeover();
        if (takeover.takenOver(chain).size() == chain.earlier().size()) {
            return;
        }
        boolean all = turn.state.maintenance().round() % ROUNDS_PER_ABSENT_PULL == 0;
        takeover.cursors().forEach((id, afterKey) -> {
            if (all || turn.view.peers().alive().containsKey(id)) {
                turn.send(id, new Pull(chain, afterKey));
            }
        });
    }

    static void handlePull(ClaimContext turn, NodeId from, Pull pull) {
        adopt(turn, pull.chain());
        turn.updateIfStale(from, pull.chain().revision());
        Roster newest = turn.state.chain().get().newest();
        if (newest.baseRevision() != pull.chain().newest().baseRevision()) {
            return;
        }
        Vector<String> keys = turn.state
                .ownerClaims()
                .keysAfter(
                        pull.afterKey(),
                        KEYS_PER_REPLY,
                        k -> newest.owners(k).contains(from)
                                && Owner.heldClaims(turn, k).nonEmpty());
        Vector<HeldClaim> claims = keys.flatMap(k -> Owner.heldClaims(turn, k));
        boolean last = keys.size() < KEYS_PER_REPLY;
        turn.send(
                from,
                new PullReply(newest.baseRevision(), pull.afterKey(), claims.asJava(), last, turn.state.revision()));
    }

    static void handlePullReply(ClaimContext turn, NodeId from, PullReply reply) {
        heard(turn, from, reply.revision());
        reply.claims().forEach(c -> Owner.importClaim(turn, c));
        Takeover takeover = turn.state.takeover();
        boolean current = turn.state.chain().exists(c -> c.newest().baseRevision() == reply.newestBaseRevision());
        if (!current || !takeover.cursors().get(from).contains(reply.afterKey())) {
            return;
        }
        if (reply.last()) {
            turn.state = turn.state.with(takeover.complete(from));
            reportToKeeper(turn);
            return;
        }
        String lastKey = reply.claims().get(reply.claims().size() - 1).key();
        turn.state = turn.state.with(takeover.advance(from, lastKey));
        turn.send(from, new Pull(turn.state.chain().get(), lastKey));
    }

    private static void reportToKeeper(ClaimContext turn) {
        RosterChain chain = turn.state.chain().get();
        if (turn.state.takeover().takenOver(chain).size() == chain.earlier().size()) {
            RosterStore.writer(turn).forEach(id -> turn.send(id, digest(turn, true, 0)));
        }
    }
}
