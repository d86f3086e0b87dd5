package org.fuchsiadeck.core.membership;

import io.vavr.collection.TreeMap;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import org.fuchsiadeck.core.model.NodeId;

/**
 * The probes of a node: whom it probes next, the probe in progress, and those it makes for others.
 *
 * @param sequence the number of the last probe
 * @param round the number of the last round
 * @param order the nodes still to be probed before the next shuffle
 * @param current the probe in progress, if it has not been answered
 * @param relays probes made for others, by this node's number of the probe
 */
record ProbeState(long sequence, long round, Vector<NodeId> order, Option<Probe> current, TreeMap<Long, Relay> relays) {
    /**
     * A probe in progress.
     *
     * @param sequence its number
     * @param target the node probed
     */
    record Probe(long sequence, NodeId target) {}

    /**
     * A probe made for another node.
     *
     * @param origin the node that asked
     * @param originSequence its number of the probe
     * @param target the node probed
     * @param expiresMs when the answer no longer counts, in milliseconds of the monotonic clock
     */
    record Relay(Member origin, long originSequence, NodeId target, long expiresMs) {}

    static ProbeState initial() {
        return new ProbeState(0, 0, Vector.empty(), Option.none(), TreeMap.empty());
    }

    ProbeState nextRound(long nowMs) {
        TreeMap<Long, Relay> open = relays.filterValues(r -> r.expiresMs() > nowMs);
        return new ProbeState(sequence, round + 1, order, Option.none(), open);
    }

    ProbeState withOrder(Vector<NodeId> next) {
        return new ProbeState(sequence, round, next, current, relays);
    }

    ProbeState withProbe(NodeId target) {
        long number = sequence + 1;
        return new ProbeState(number, round, order, Option.of(new Probe(number, target)), relays);
    }

    ProbeState withRelay(Relay relay) {
        long number = sequence + 1;
        return new ProbeState(number, round, order, current, relays.put(number, relay));
    }

    boolean isAnsweredBy(MembershipMessage.Ack ack) {
        return current.exists(p -> p.sequence() == ack.sequence()
                && p.target().equals(ack.subject().id()));
    }

    ProbeState withoutProbe() {
        return new ProbeState(sequence, round, order, Option.none(), relays);
    }

    Option<Relay> findRelay(MembershipMessage.Ack ack) {
        return relays.get(ack.sequence())
                .filter(r -> r.target().equals(ack.subject().id()));
    }

    ProbeState withoutRelay(long number) {
        return new ProbeState(sequence, round, order, current, relays.remove(number));
    }
}
