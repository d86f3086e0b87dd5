package org.fuchsiadeck.core.membership;

import io.vavr.collection.TreeMap;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import org.fuchsiadeck.core.model.NodeId;

/**
 * The state of a node's probing: the nodes to probe next, the probe in progress, and the probes sent for other nodes.
 *
 * @param sequence the number of the last probe
 * @param round the number of the last round
 * @param order the nodes still to be probed before the next shuffle
 * @param current the probe in progress, if it has not been answered
 * @param relays the unanswered probes sent for other nodes, by this node's probe number
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
     * An indirect probe that this node sends for another.
     *
     * @param origin the node that requested the probe
     * @param originSequence the number of the probe at the requesting node
     * @param target the node probed
     * @param expiresMs when the wait for an answer ends, in milliseconds of the monotonic clock
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
