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
 * The latest known state of every entry node, and the updates that still have to be gossiped. Merging keeps the maximum
 * by {@link Member#supersedes}, so the order and repetition of updates do not matter.
 *
 * @param incarnation the node's own incarnation
 * @param leaving whether the node itself is leaving
 * @param entries the other nodes, dead ones included
 * @param spreading how many more times the state of each node is to be sent
 */
record MemberTable(
        long incarnation, boolean leaving, TreeMap<NodeId, Entry> entries, TreeMap<NodeId, Integer> spreading) {
    /** How long a dead node stays in the table, in milliseconds. */
    static final long TOMBSTONE_RETENTION_MS = 600_000;

    private static final int UPDATES_PER_MESSAGE = 8;
    private static final int RETRANSMIT_FACTOR = 3;

    /**
     * The state of a node and the time since which it is known.
     *
     * @param member the state
     * @param sinceMs when the state became known, in milliseconds of the monotonic clock
     */
    record Entry(Member member, long sinceMs) {}

    /**
     * The updates for one message, and the table after they have been sent.
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
        Member received = update.member();
        if (received.id().equals(self.id())) {
            return received.supersedes(selfMember(self)) ? refute(received) : this;
        }
        boolean expired = received.status() == Status.DEAD && update.ageMs() >= TOMBSTONE_RETENTION_MS;
        Entry known = entries.getOrElse(received.id(), null);
        if (expired || known != null && !received.supersedes(known.member())) {
            return this;
        }
        long sinceMs = received.status() == Status.DEAD ? nowMs - update.ageMs() : nowMs;
        return withMember(received, sinceMs);
    }

    /** Adds unknown nodes of the platform's list as alive, without gossiping them: other nodes read the same list. */
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

    private MemberTable refute(Member received) {
        return new MemberTable(received.incarnation() + 1, leaving, entries, spreading);
    }

    MemberTable withStatus(NodeId id, Status status, long nowMs) {
        Entry known = entries.getOrElse(id, null);
        if (known == null || known.member().status().compareTo(status) >= 0) {
            return this;
        }
        return withMember(known.member().withStatus(status), nowMs);
    }

    private MemberTable withMember(Member member, long sinceMs) {
        TreeMap<NodeId, Entry> next = entries.put(member.id(), new Entry(member, sinceMs));
        return new MemberTable(incarnation, leaving, next, spreading.put(member.id(), retransmitLimit(next.size())));
    }

    private static int retransmitLimit(int nodes) {
        int bits = Integer.SIZE - Integer.numberOfLeadingZeros(nodes + 1);
        return RETRANSMIT_FACTOR * bits;
    }

    /** Marks nodes dead whose suspicion timed out, and removes dead nodes after the retention period. */
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

    /** Restarts the timeout of every suspicion, after a pause of this node in which it received no refutations. */
    MemberTable restartSuspicions(long nowMs) {
        TreeMap<NodeId, Entry> next =
                entries.mapValues(e -> e.member().status() == Status.SUSPECT ? new Entry(e.member(), nowMs) : e);
        return new MemberTable(incarnation, leaving, next, spreading);
    }

    /**
     * Selects the updates for one message. If the receiver itself is known as suspect, leaving or dead, its own entry
     * goes first, so that it can refute it.
     */
    UpdateBatch takeUpdates(NodeId receiver, long nowMs) {
        List<Update> out = new ArrayList<>();
        Entry known = entries.getOrElse(receiver, null);
        if (known != null && known.member().status() != Status.ALIVE) {
            out.add(toUpdate(known, nowMs));
        }
        TreeMap<NodeId, Integer> remaining = spreading;
        Vector<NodeId> chosen = spreading
                .toVector()
                .sorted(Comparator.comparing(t -> -t._2))
                .map(t -> t._1)
                .filter(id -> !id.equals(receiver))
                .take(UPDATES_PER_MESSAGE);
        for (NodeId id : chosen) {
            out.add(toUpdate(entries.get(id).get(), nowMs));
            int times = remaining.get(id).get() - 1;
            remaining = times > 0 ? remaining.put(id, times) : remaining.remove(id);
        }
        return new UpdateBatch(out, new MemberTable(incarnation, leaving, entries, remaining));
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
