package org.fuchsiadeck.core.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;

import io.vavr.collection.TreeMap;
import io.vavr.collection.Vector;
import org.fuchsiadeck.core.Identity;
import org.fuchsiadeck.core.membership.Member.Status;
import org.fuchsiadeck.core.membership.MembershipMessage.Update;
import org.fuchsiadeck.core.model.NodeId;
import org.fuchsiadeck.core.model.Peers;

/**
 * The statements a node holds of itself and of the others, and which of them it still has to spread. Merging is the
 * maximum over {@link Member#supersedes}, so its order and repetition do not matter.
 *
 * @param incarnation the node's own incarnation
 * @param leaving whether the node itself is leaving
 * @param entries the other nodes, dead ones included
 * @param spreading how often the statement of a node is still to be sent
 */
record MemberTable(
        long incarnation, boolean leaving, TreeMap<NodeId, Entry> entries, TreeMap<NodeId, Integer> spreading) {
    /** How long a dead node is remembered, in milliseconds. */
    static final long TOMBSTONE_RETENTION_MS = 600_000;

    private static final int UPDATES_PER_MESSAGE = 8;
    private static final int RETRANSMIT_FACTOR = 3;

    /**
     * A statement and when it was first held.
     *
     * @param member the statement
     * @param sinceMs the monotonic time, in milliseconds
     */
    record Entry(Member member, long sinceMs) {}

    /**
     * Updates to send, and the table after they are sent.
     *
     * @param updates the updates
     * @param table the table
     */
    record UpdateBatch(List<Update> updates, MemberTable table) {}

    static MemberTable empty() {
        return new MemberTable(0, false, TreeMap.empty(), TreeMap.empty());
    }

    Member selfMember(Identity id) {
        Status status = leaving ? Status.LEAVING : Status.ALIVE;
        return new Member(id.id(), id.peerAddress(), id.zone(), incarnation, status);
    }

    MemberTable withLeaving() {
        return new MemberTable(incarnation, true, entries, spreading);
    }

    MemberTable merge(Identity self, Update update, long nowMs) {
        Member said = update.member();
        if (said.id().equals(self.id())) {
            return said.supersedes(selfMember(self)) ? refute(said) : this;
        }
        boolean expired = said.status() == Status.DEAD && update.ageMs() >= TOMBSTONE_RETENTION_MS;
        Entry held = entries.getOrElse(said.id(), null);
        if (expired || held != null && !said.supersedes(held.member())) {
            return this;
        }
        long sinceMs = said.status() == Status.DEAD ? nowMs - update.ageMs() : nowMs;
        return withMember(said, sinceMs);
    }

    /** Takes nodes that are not known as alive, as others read the same list. */
    MemberTable withListed(Identity self, List<Peers.Peer> nodes, long nowMs) {
        TreeMap<NodeId, Entry> next = entries;
        for (Peers.Peer node : nodes) {
            if (!node.id().equals(self.id()) && !next.containsKey(node.id())) {
                Member member = new Member(node.id(), node.address(), node.zone(), 0, Status.ALIVE);
                next = next.put(node.id(), new Entry(member, nowMs));
            }
        }
        return next == entries ? this : new MemberTable(incarnation, leaving, next, spreading);
    }

    private MemberTable refute(Member said) {
        return new MemberTable(said.incarnation() + 1, leaving, entries, spreading);
    }

    MemberTable withStatus(NodeId id, Status status, long nowMs) {
        Entry held = entries.getOrElse(id, null);
        if (held == null || held.member().status().compareTo(status) >= 0) {
            return this;
        }
        return withMember(held.member().withStatus(status), nowMs);
    }

    private MemberTable withMember(Member member, long sinceMs) {
        TreeMap<NodeId, Entry> next = entries.put(member.id(), new Entry(member, sinceMs));
        return new MemberTable(incarnation, leaving, next, spreading.put(member.id(), retransmitLimit(next.size())));
    }

    private static int retransmitLimit(int nodes) {
        int bits = Integer.SIZE - Integer.numberOfLeadingZeros(nodes + 1);
        return RETRANSMIT_FACTOR * bits;
    }

    /** Takes suspects as dead after their time, and forgets the dead after theirs. */
    MemberTable expire(long nowMs, long suspicionMs) {
        MemberTable next = this;
        for (Entry entry : entries.values()) {
            long ageMs = nowMs - entry.sinceMs();
            Member member = entry.member();
            if (member.status() == Status.SUSPECT && ageMs >= suspicionMs) {
                next = next.withStatus(member.id(), Status.DEAD, nowMs);
            }
            if (member.status() == Status.DEAD && ageMs >= TOMBSTONE_RETENTION_MS) {
                next = next.without(member.id());
            }
        }
        return next;
    }

    private MemberTable without(NodeId id) {
        return new MemberTable(incarnation, leaving, entries.remove(id), spreading.remove(id));
    }

    /** Gives every suspect its whole time again, after this node itself was paused. */
    MemberTable restartSuspicions(long nowMs) {
        TreeMap<NodeId, Entry> next =
                entries.mapValues(e -> e.member().status() == Status.SUSPECT ? new Entry(e.member(), nowMs) : e);
        return new MemberTable(incarnation, leaving, next, spreading);
    }

    /** Takes the updates for one message; what contradicts the receiver's own belief in itself goes first. */
    UpdateBatch takeUpdates(NodeId receiver, long nowMs) {
        List<Update> out = new ArrayList<>();
        Entry held = entries.getOrElse(receiver, null);
        if (held != null && held.member().status() != Status.ALIVE) {
            out.add(toUpdate(held, nowMs));
        }
        TreeMap<NodeId, Integer> left = spreading;
        Vector<NodeId> chosen = spreading
                .toVector()
                .sorted(Comparator.comparing(t -> -t._2))
                .map(t -> t._1)
                .filter(id -> !id.equals(receiver))
                .take(UPDATES_PER_MESSAGE);
        for (NodeId id : chosen) {
            out.add(toUpdate(entries.get(id).get(), nowMs));
            int times = left.get(id).get() - 1;
            left = times > 0 ? left.put(id, times) : left.remove(id);
        }
        return new UpdateBatch(out, new MemberTable(incarnation, leaving, entries, left));
    }

    List<Update> allUpdates(long nowMs) {
        return entries.values().map(e -> toUpdate(e, nowMs)).asJava();
    }

    private static Update toUpdate(Entry entry, long nowMs) {
        return new Update(entry.member(), Math.max(0, nowMs - entry.sinceMs()));
    }

    Vector<Member> members() {
        return entries.values().map(Entry::member).toVector();
    }

    Peers peers() {
        java.util.TreeMap<NodeId, Peers.Peer> alive = new java.util.TreeMap<>();
        for (Member member : members().filter(Member::isServing)) {
            alive.put(member.id(), member.toPeer());
        }
        return new Peers(alive);
    }

    Set<NodeId> leavingPeers() {
        return members()
                .filter(m -> m.status() == Status.LEAVING)
                .map(Member::id)
                .toJavaSet();
    }
}
