package org.fuchsiadeck.core.duty;

import java.util.List;
import java.util.Map;
import java.util.Set;

import org.fuchsiadeck.core.config.Quota;
import org.fuchsiadeck.core.config.ServiceScaling;
import org.fuchsiadeck.core.config.Team;
import org.fuchsiadeck.core.duty.FleetPlan.CurrentServers;
import org.fuchsiadeck.core.duty.FleetPlan.Place;
import org.fuchsiadeck.core.duty.FleetPlan.RecentNeed;
import org.fuchsiadeck.core.model.TeamId;
import org.fuchsiadeck.core.model.Zone;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against plans that leave too few servers after a zone of reclaimable servers is lost, and against orders that
 * exceed the limits of a zone or the need.
 */
class FleetPlanTest {
    private static final Zone A = new Zone("a");
    private static final Zone B = new Zone("b");
    private static final Zone C = new Zone("c");
    private static final Map<Zone, Double> PRICES = Map.of(A, 1.0, B, 0.8, C, 1.2);
    private static final ServiceScaling CHEAP_RECLAIMABLE = new ServiceScaling("s", 1, 4, 4_000, 0.15, PRICES);
    private static final ServiceScaling NO_RECLAIMABLE = new ServiceScaling("s", 1, 4, 4_000, 1, PRICES);

    private static FleetPlan plan(
            ServiceScaling scaling, int needed, Map<Place, Integer> registered, Set<Zone> withheld) {
        return new FleetPlan(
                scaling,
                new RecentNeed(needed, needed),
                0,
                new CurrentServers(registered, registered),
                false,
                withheld);
    }

    private static FleetPlan planAfterReclaim(
            int usual, Map<Place, Integer> registered, Map<Place, Integer> ordered, Zone... from) {
        return new FleetPlan(
                CHEAP_RECLAIMABLE,
                new RecentNeed(usual, usual),
                0,
                new CurrentServers(registered, ordered),
                true,
                Set.of(from));
    }

    private static int sum(Map<Place, Integer> targets, boolean reclaimable) {
        return targets.entrySet().stream()
                .filter(e -> e.getKey().reclaimable() == reclaimable)
                .mapToInt(Map.Entry::getValue)
                .sum();
    }

    @Test
    void leavesEnoughServersAfterLossOfAnyZone() {
        for (int need = 0; need < 18; need++) {
            Map<Place, Integer> targets =
                    plan(CHEAP_RECLAIMABLE, need, Map.of(), Set.of()).targetCounts();
            int minimum = Math.max(FleetPlan.MIN_SERVERS, need);
            int most = PRICES.keySet().stream()
                    .mapToInt(z -> targets.get(new Place(z, true)))
                    .max()
                    .getAsInt();
            assertThat(sum(targets, true) - most)
                    .as("need " + need)
                    .isGreaterThanOrEqualTo(Math.min(minimum, 2 * CHEAP_RECLAIMABLE.max()));
        }
    }

    /** A quota may be higher than the throughput of all servers that the zones can hold. */
    @Test
    @Timeout(value = 5, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
    void ordersZoneMaximumWhenNeedExceedsAllZones() {
        FleetPlan plan = new FleetPlan(
                CHEAP_RECLAIMABLE,
                new RecentNeed(Integer.MAX_VALUE, 1e14),
                Integer.MAX_VALUE,
                new CurrentServers(Map.of(), Map.of()),
                false,
                Set.of());
        assertThat(sum(plan.targetCounts(), true)).isEqualTo(PRICES.size() * CHEAP_RECLAIMABLE.max());
    }

    /** What remains after a reclaimed zone counts by its speed, not only by the number of servers. */
    @Test
    void ordersMoreWhereTheRemainingServersAreSlow() {
        Map<Place, Integer> registered = Map.of(new Place(A, true), 4, new Place(B, true), 4);
        int equal = onDemandAfterReclaim(new CurrentServers(registered, registered));
        int slow = onDemandAfterReclaim(
                new CurrentServers(registered, registered, Map.of(new Place(A, true), 0.5, new Place(B, true), 1.5)));
        assertThat(slow).isEqualTo(equal + 2);
    }

    private static int onDemandAfterReclaim(CurrentServers current) {
        ServiceScaling large = new ServiceScaling("s", 1, 20, 4_000, 0.15, PRICES);
        FleetPlan plan = new FleetPlan(large, new RecentNeed(12, 12), 0, current, true, Set.of());
        return sum(plan.targetCounts(), false);
    }

    @Test
    void aFasterPrefillRateNeedsFewerServersForQuotas() {
        Team team = new Team(new TeamId("t"), 1, 0, new Quota(1_600_000, 0, true, 200));
        assertThat(FleetPlan.serversForQuotas(List.of(team), 160)).isEqualTo(8);
    }

    /** Servers given up before the first request of the day would not be back when the load peaks. */
    @Test
    void sizesByQuotasBeforeTraffic() {
        ServiceScaling large = new ServiceScaling("s", 1, 20, 4_000, 0.2, PRICES);
        Team team = new Team(new TeamId("t"), 1, 0, new Quota(1_600_000, 0, true, 200));
        int expected = FleetPlan.serversForQuotas(List.of(team));
        assertThat(expected).isEqualTo(15);
        FleetPlan plan = new FleetPlan(
                large,
                new RecentNeed(0, 0),
                expected,
                new CurrentServers(Map.of(), Map.of(new Place(A, false), 20)),
                false,
                Set.of());
        Map<Place, Integer> targets = plan.targetCounts();
        int most = PRICES.keySet().stream()
                .mapToInt(z -> targets.get(new Place(z, true)))
                .max()
                .getAsInt();
        assertThat(sum(targets, true) - most).isGreaterThanOrEqualTo(expected);
        assertThat(sum(targets, false)).isEqualTo(expected);
    }

    /** No zone has reclaimable servers available, and no request has arrived yet. */
    @Test
    void ordersOnDemandServersForQuotas() {
        CurrentServers none = new CurrentServers(Map.of(), Map.of());
        ServiceScaling large = new ServiceScaling("s", 0, 20, 4_000, 0.2, PRICES);
        FleetPlan plan = new FleetPlan(large, new RecentNeed(0, 0), 12, none, true, Set.of(A, B, C));
        assertThat(sum(plan.targetCounts(), false)).isEqualTo(12);
    }

    @Test
    void keepsOnDemandServersUntilReclaimableOnesAreRegistered() {
        Map<Place, Integer> present = Map.of(new Place(A, false), 2, new Place(B, false), 2);
        assertThat(sum(plan(CHEAP_RECLAIMABLE, 0, present, Set.of()).targetCounts(), false))
                .isEqualTo(3);
        Map<Place, Integer> registered =
                Map.of(new Place(A, false), 2, new Place(A, true), 2, new Place(B, true), 2, new Place(C, true), 1);
        assertThat(sum(plan(CHEAP_RECLAIMABLE, 0, registered, Set.of()).targetCounts(), false))
                .isZero();
    }

    @Test
    void omitsUnavailableZonesFromTargets() {
        Map<Place, Integer> present = Map.of(new Place(A, true), 2, new Place(B, true), 2, new Place(C, true), 2);
        Map<Place, Integer> targets =
                plan(CHEAP_RECLAIMABLE, 10, present, Set.of(A, C)).targetCounts();
        assertThat(targets).doesNotContainKeys(new Place(A, true), new Place(C, true));
        assertThat(targets).containsKey(new Place(B, true));
    }

    @Test
    void ordersOnDemandServersWhenReclaimableOnesAreUnavailable() {
        int needed = 5;
        int need = needed;
        Map<Place, Integer> present = Map.of(new Place(A, true), 1);
        Map<Place, Integer> targets =
                plan(CHEAP_RECLAIMABLE, need, present, Set.of(A, B, C)).targetCounts();
        assertThat(sum(targets, false)).isEqualTo(needed - 1);
        assertThat(sum(plan(NO_RECLAIMABLE, need, Map.of(), Set.of()).targetCounts(), false))
                .isEqualTo(needed);
    }

    @Test
    void staysWithinZoneMaximum() {
        Map<Place, Integer> targets =
                plan(CHEAP_RECLAIMABLE, 1_000, Map.of(), Set.of()).targetCounts();
        assertThat(targets.values()).allMatch(n -> n <= CHEAP_RECLAIMABLE.max());
    }

    /** Zones are reclaimed one after the other, seconds apart, and have no new reclaimable servers. */
    @Test
    void ordersOnDemandServersForLossOfOneMoreZone() {
        Map<Place, Integer> registered = Map.of(new Place(B, true), 2, new Place(C, true), 2);
        Map<Place, Integer> targets =
                planAfterReclaim(2, registered, registered, A).targetCounts();
        assertThat(sum(targets, false)).isEqualTo(FleetPlan.MIN_SERVERS - 2);
    }

    @Test
    void keepsStartingOnDemandServersInTheirZones() {
        Map<Place, Integer> ordered = Map.of(new Place(C, false), 2, new Place(A, false), 1);
        Map<Place, Integer> targets =
                planAfterReclaim(2, Map.of(), ordered, A, B, C).targetCounts();
        assertThat(targets).containsEntry(new Place(C, false), 2).containsEntry(new Place(A, false), 1);
        assertThat(sum(targets, false)).isEqualTo(FleetPlan.MIN_SERVERS);
    }

    /** A short peak ends before an ordered server has started. */
    @Test
    void shortPeakDoesNotIncreaseOnDemandServers() {
        FleetPlan plan = new FleetPlan(
                CHEAP_RECLAIMABLE,
                new RecentNeed(3, 23),
                0,
                new CurrentServers(Map.of(), Map.of()),
                true,
                Set.of(A, B, C));
        assertThat(sum(plan.targetCounts(), false)).isEqualTo(FleetPlan.MIN_SERVERS);
    }
}
