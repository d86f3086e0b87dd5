package org.fuchsiadeck.core.membership;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.fuchsiadeck.core.Identity;
import org.fuchsiadeck.core.LifecycleEvent;
import org.fuchsiadeck.core.SimulatedNodes;
import org.fuchsiadeck.core.config.Configuration;
import org.fuchsiadeck.core.membership.Member.Status;
import org.fuchsiadeck.core.membership.MembershipMessage.Update;
import org.fuchsiadeck.core.model.Address;
import org.fuchsiadeck.core.model.NodeId;
import org.fuchsiadeck.core.model.Zone;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against membership tables that diverge: through reordered or repeated updates, lost messages, partitions, and
 * nodes that pause, die or leave.
 */
class MembershipPropertyTest {
    private static final Identity SELF = new Identity(new NodeId("self"), new Zone("z"), address(1), 1);

    @Property(seed = "1", tries = 300)
    void tablesConvergeForAnyOrderAndRepetitionOfUpdates(@ForAll long seed) {
        Random random = new Random(seed);
        List<Update> updates = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
            updates.add(update(random));
        }
        MemberTable expected = merge(MemberTable.empty(), updates);
        List<Update> shuffled = new ArrayList<>(updates);
        shuffled.addAll(updates.subList(0, 10));
        Collections.shuffle(shuffled, random);
        assertThat(merge(MemberTable.empty(), shuffled).members()).isEqualTo(expected.members());
    }

    @Property(seed = "2", tries = 300)
    void leavingNeverRevertsUnderTheSameIncarnation(@ForAll long seed) {
        Random random = new Random(seed);
        MemberTable table = merge(MemberTable.empty(), List.of(new Update(member(3, 5, Status.LEAVING), 0)));
        for (int i = 0; i < 30; i++) {
            Member other = member(3, random.nextInt(6), Status.values()[random.nextInt(4)]);
            table = table.merge(SELF, new Update(other, 0), i);
        }
        Member left = table.entries().get(new NodeId("m3")).get().member();
        assertThat(left.status()).isIn(Status.LEAVING, Status.DEAD);
    }

    @Property(seed = "3", tries = 25)
    void nodesConvergeDespiteLostAndDuplicatedMessages(
            @ForAll long seed, @ForAll @IntRange(min = 2, max = 9) int count) {
        SimulatedNodes simulation = startNodes(seed, count);
        simulation.lossRate = 0.2;
        simulation.duplicationRate = 0.2;
        simulation.maxDelayMs = 200;
        simulation.runFor(60_000);
        simulation.lossRate = 0;
        simulation.runFor(15_000);
        assertThat(simulation.hasConverged()).isTrue();
    }

    @Property(seed = "4", tries = 25)
    void partitionsHealAfterEachSideConsideredTheOtherDead(@ForAll long seed) {
        SimulatedNodes simulation = startNodes(seed, 6);
        simulation.runFor(15_000);
        simulation.partition = java.util.Set.copyOf(
                new ArrayList<>(simulation.nodes.keySet()).subList(0, 1 + simulation.random.nextInt(5)));
        simulation.runFor(60_000);
        assertThat(simulation.hasConverged()).isFalse();
        simulation.partition = java.util.Set.of();
        simulation.runFor(30_000);
        assertThat(simulation.hasConverged()).isTrue();
    }

    @Property(seed = "5", tries = 25)
    void pausedNodeRejoinsAndDeadNodeIsRemoved(@ForAll long seed) {
        SimulatedNodes simulation = startNodes(seed, 5);
        simulation.runFor(15_000);
        List<String> ids = new ArrayList<>(simulation.nodes.keySet());
        simulation.nodes.get(ids.get(0)).pausedUntilMs = simulation.nowMs + 40_000;
        simulation.kill(ids.get(1));
        simulation.runFor(39_000);
        NodeId paused = new NodeId(ids.get(0));
        assertThat(simulation.nodes.get(ids.get(2)).members.peers().alive()).doesNotContainKey(paused);
        simulation.runFor(20_000);
        assertThat(simulation.hasConverged()).isTrue();
    }

    @Property(seed = "6", tries = 25)
    void leavingNodeIsRemovedFromPeersWithinSeconds(@ForAll long seed) {
        SimulatedNodes simulation = startNodes(seed, 8);
        simulation.runFor(15_000);
        String leaving = simulation.nodes.firstKey();
        simulation.post(leaving, 0, new LifecycleEvent.StopRequested(30_000));
        simulation.runFor(2_000);
        simulation
                .nodes
                .tailMap(leaving, false)
                .values()
                .forEach(n -> assertThat(n.members.peers().alive()).doesNotContainKey(new NodeId(leaving)));
    }

    private static SimulatedNodes startNodes(long seed, int count) {
        SimulatedNodes simulation = new SimulatedNodes(seed, Configuration.NONE);
        for (int i = 0; i < count; i++) {
            simulation.start("z" + i % 4);
        }
        return simulation;
    }

    private static MemberTable merge(MemberTable table, List<Update> updates) {
        MemberTable next = table;
        for (Update update : updates) {
            next = next.merge(SELF, update, 0);
        }
        return next;
    }

    private static Update update(Random random) {
        return new Update(
                member(random.nextInt(4), random.nextInt(3), Status.values()[random.nextInt(4)]), random.nextInt(100));
    }

    private static Member member(int number, long incarnation, Status status) {
        return new Member(new NodeId("m" + number), address(number + 2), new Zone("z"), incarnation, status);
    }

    private static Address address(int port) {
        return new Address("127.0.0.1", port);
    }
}
