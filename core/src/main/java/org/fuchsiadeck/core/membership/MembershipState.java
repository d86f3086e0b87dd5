package org.fuchsiadeck.core.membership;

import java.util.Optional;

import io.vavr.collection.LinkedHashSet;
import io.vavr.collection.Vector;
import org.fuchsiadeck.core.model.Address;
import org.fuchsiadeck.core.model.NodeId;
import org.fuchsiadeck.core.model.Peers;
import org.fuchsiadeck.core.model.SplitMix64;

import static java.util.Objects.requireNonNull;

/**
 * The membership state of a node: the other entry nodes it knows and the probes in progress.
 *
 * @param table the known state of each node
 * @param probing the order and progress of probes
 * @param seeds addresses from the settings
 * @param listed addresses from the platform's list
 * @param random the random number generator
 * @param peers the entry nodes considered alive
 */
public record MembershipState(
        MemberTable table,
        ProbeState probing,
        LinkedHashSet<Address> seeds,
        LinkedHashSet<Address> listed,
        SplitMix64 random,
        Peers peers) {
    public MembershipState {
        requireNonNull(table, "table");
        requireNonNull(probing, "probing");
        requireNonNull(seeds, "seeds");
        requireNonNull(listed, "listed");
        requireNonNull(random, "random");
        requireNonNull(peers, "peers");
    }

    /**
     * Returns the state of a node that has just started.
     *
     * @return the state
     */
    public static MembershipState initial() {
        return new MembershipState(
                MemberTable.empty(),
                ProbeState.initial(),
                LinkedHashSet.empty(),
                LinkedHashSet.empty(),
                new SplitMix64(0),
                Peers.NONE);
    }

    /**
     * Finds the address at which a node receives messages. Dead and leaving nodes are included.
     *
     * @param id the node
     * @return its address, or empty if the node is unknown
     */
    public Optional<Address> findAddress(NodeId id) {
        return table.entries().get(id).map(e -> e.member().address()).toJavaOptional();
    }

    /**
     * Returns all known nodes, including dead and leaving ones.
     *
     * @return the members, by id
     */
    public Vector<Member> members() {
        return table.members();
    }

    MembershipState with(MemberTable next) {
        Peers alive = next.entries() == table.entries() ? peers : next.peers();
        return new MembershipState(next, probing, seeds, listed, random, alive);
    }

    MembershipState with(ProbeState next) {
        return new MembershipState(table, next, seeds, listed, random, peers);
    }

    MembershipState with(SplitMix64 next) {
        return new MembershipState(table, probing, seeds, listed, next, peers);
    }

    MembershipState withSeeds(Iterable<Address> next) {
        return new MembershipState(table, probing, LinkedHashSet.ofAll(next), listed, random, peers);
    }

    MembershipState withListed(Iterable<Address> next) {
        return new MembershipState(table, probing, seeds, LinkedHashSet.ofAll(next), random, peers);
    }
}
