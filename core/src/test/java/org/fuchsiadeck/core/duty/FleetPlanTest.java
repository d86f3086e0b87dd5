package org.fuchsiadeck.core.duty;

import java.util.List;
import java.util.Map;
import java.util.Set;

import org.fuchsiadeck.core.config.Quota;
import org.fuchsiadeck.core.config.ServiceScaling;
import org.fuchsiadeck.core.config.Team;
import org.fuchsiadeck.core.duty.FleetPlan.Load;
import org.fuchsiadeck.core.duty.FleetPlan.Place;
import org.fuchsiadeck.core.duty.FleetPlan.Standing;
import org.fuchsiadeck.core.model.TeamId;
import org.fuchsiadeck.core.model.Zone;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

class FleetPlanTest {
    private static final Zone A = new Zone("a");
    private static final Zone B = new Zone("b");
    private static final Zone C = new Zone("c");
    private static final Map<Zone, Double> PRICES = Map.of(A, 1.0, B, 0.8, C, 1.2);
    private static final ServiceScaling CHEAP = new ServiceScaling("s", 1, 4, 4_000, 0.15, PRICES);
    private static final ServiceScaling DEAR = new ServiceScaling("s", 1, 4, 4_000, 1, PRICES);

    private static FleetPlan plan(ServiceScaling scaling, int needed, Map<Place, Integer> up, Set<Zone> withheld) {
        return new FleetPlan(scaling, new Load(needed, needed), 0, new Standing(up, up), false, withheld);
    }

    private static FleetPlan reclaiming(int usual, Map<Place, Integer> up, Map<Place, Integer> ordered, Zone... from) {
        return new FleetPlan(CHEAP, new Load(usual, usual), 0, new Standing(up, ordered), true, Set.of(from));
    }

    private static int sum(Map<Place, Integer> wanted, boolean reclaimable) {
        return wanted.entrySet().stream()
                .filter(e -> e.getKey().reclaimable() == reclaimable)
                .mapToInt(Map.Entry::getValue)
                .sum();
    }

    @Test
    void leavesEnoughAfterTheLossOfAnyZone() {
        for (int busy = 0; busy < 18; busy++) {
            Map<Place, Integer> wanted = plan(CHEAP, busy, Map.of(), Set.of()).wanted();
            int needed = Math.max(FleetPlan.LEAST_SERVERS, busy);
            int most = PRICES.keySet().stream()
                    .mapToInt(z -> wanted.get(new Place(z, true)))
                    .max()
                    .getAsInt();
            assertThat(sum(wanted, true) - most)
                    .as("busy " + busy)
                    .isGreaterThanOrEqualTo(Math.min(needed, 2 * CHEAP.max()));
        }
    }

    /** A quota of more tokens a second than all servers can give. */
    @Test
    @Timeout(value = 5, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
    void ordersAllThatTheZonesHoldForANeedBeyondAnyFleet() {
        FleetPlan plan = new FleetPlan(
                CHEAP,
                new Load(Integer.MAX_VALUE, 1e14),
                Integer.MAX_VALUE,
                new Standing(Map.of(), Map.of()),
                false,
                Set.of());
        assertThat(sum(plan.wanted(), true)).isEqualTo(PRICES.size() * CHEAP.max());
    }

    /** A large fleet before the day's first request: what is given up now is not back when the rush begins. */
    @Test
    void keepsWhatTeamsMayAskForBeforeTrafficIsSeen() {
        ServiceScaling large = new ServiceScaling("s", 1, 20, 4_000, 0.2, PRICES);
        Team team = new Team(new TeamId("t"), 1, 0, new Quota(1_600_000, 0, true, 200));
        int expected = FleetPlan.expected(List.of(team));
        assertThat(expected).isEqualTo(15);
        FleetPlan plan = new FleetPlan(
                large,
                new Load(0, 0),
                expected,
                new Standing(Map.of(), Map.of(new Place(A, false), 20)),
                false,
                Set.of());
        Map<Place, Integer> wanted = plan.wanted();
        int most = PRICES.keySet().stream()
                .mapToInt(z -> wanted.get(new Place(z, true)))
                .max()
                .getAsInt();
        assertThat(sum(wanted, true) - most).isGreaterThanOrEqualTo(expected);
        assertThat(sum(wanted, false)).isEqualTo(expected);
    }

    /** All zones withhold reclaimable servers before a request has come. */
    @Test
    void ordersOtherServersForWhatTeamsMayAskFor() {
        Standing none = new Standing(Map.of(), Map.of());
        ServiceScaling large = new ServiceScaling("s", 0, 20, 4_000, 0.2, PRICES);
        FleetPlan plan = new FleetPlan(large, new Load(0, 0), 12, none, true, Set.of(A, B, C));
        assertThat(sum(plan.wanted(), false)).isEqualTo(12);
    }

    @Test
    void keepsOtherServersUntilReclaimableOnesAreUp() {
        Map<Place, Integer> present = Map.of(new Place(A, false), 2, new Place(B, false), 2);
        assertThat(sum(plan(CHEAP, 0, present, Set.of()).wanted(), false)).isEqualTo(3);
        Map<Place, Integer> up =
                Map.of(new Place(A, false), 2, new Place(A, true), 2, new Place(B, true), 2, new Place(C, true), 1);
        assertThat(sum(plan(CHEAP, 0, up, Set.of()).wanted(), false)).isZero();
    }

    @Test
    void leavesTheOrdersOfAZoneThatHasNoMoreToGive() {
        Map<Place, Integer> present = Map.of(new Place(A, true), 2, new Place(B, true), 2, new Place(C, true), 2);
        Map<Place, Integer> wanted = plan(CHEAP, 10, present, Set.of(A, C)).wanted();
        assertThat(wanted).doesNotContainKeys(new Place(A, true), new Place(C, true));
        assertThat(wanted).containsKey(new Place(B, true));
    }

    @Test
    void ordersOtherServersWhereNoReclaimableOnesAreToBeHad() {
        int needed = 5;
        int busy = needed;
        Map<Place, Integer> present = Map.of(new Place(A, true), 1);
        Map<Place, Integer> wanted = plan(CHEAP, busy, present, Set.of(A, B, C)).wanted();
        assertThat(sum(wanted, false)).isEqualTo(needed - 1);
        assertThat(sum(plan(DEAR, busy, Map.of(), Set.of()).wanted(), false)).isEqualTo(needed);
    }

    @Test
    void staysWithinWhatAZoneMayHave() {
        Map<Place, Integer> wanted = plan(CHEAP, 1_000, Map.of(), Set.of()).wanted();
        assertThat(wanted.values()).allMatch(n -> n <= CHEAP.max());
    }

    /** One zone after the other is taken away, each some seconds after the one before, and none are to be had. */
    @Test
    void othersAreOrderedForTheLossOfOneMoreZone() {
        Map<Place, Integer> up = Map.of(new Place(B, true), 2, new Place(C, true), 2);
        Map<Place, Integer> wanted = reclaiming(2, up, up, A).wanted();
        assertThat(sum(wanted, false)).isEqualTo(FleetPlan.LEAST_SERVERS - 2);
    }

    @Test
    void othersThatAreStartingAreNotOrderedElsewhere() {
        Map<Place, Integer> ordered = Map.of(new Place(C, false), 2, new Place(A, false), 1);
        Map<Place, Integer> wanted = reclaiming(2, Map.of(), ordered, A, B, C).wanted();
        assertThat(wanted).containsEntry(new Place(C, false), 2).containsEntry(new Place(A, false), 1);
        assertThat(sum(wanted, false)).isEqualTo(FleetPlan.LEAST_SERVERS);
    }

    /** A short rush is over before a server has started. */
    @Test
    void aShortRushOrdersNoOthers() {
        FleetPlan plan =
                new FleetPlan(CHEAP, new Load(3, 23), 0, new Standing(Map.of(), Map.of()), true, Set.of(A, B, C));
        assertThat(sum(plan.wanted(), false)).isEqualTo(FleetPlan.LEAST_SERVERS);
    }
}
