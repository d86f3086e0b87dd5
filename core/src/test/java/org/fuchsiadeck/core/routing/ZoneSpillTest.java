package org.fuchsiadeck.core.routing;

import java.util.Optional;
import java.util.stream.IntStream;

import io.vavr.collection.HashSet;
import io.vavr.collection.SortedMap;
import io.vavr.collection.TreeMap;
import org.fuchsiadeck.core.model.BackendId;
import org.fuchsiadeck.core.model.Zone;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against a fraction that does not level the waits, starts by chance, or leads into zones that are unknown. */
class ZoneSpillTest {
    private static final Zone OWN = new Zone("a");
    private static final Zone OTHER = new Zone("b");
    private static final Zone THIRD = new Zone("c");
    private static final ZoneSpill.Traits CALL = ZoneSpill.Traits.of(2_000, 0, 0);

    /** The load of a service without prompts: 4 servers with 6 slots each, a request takes 100 ms. */
    private static ZoneLoad slots(Zone zone, double attempts) {
        HashSet<BackendId> servers = HashSet.range(0, 4).map(i -> new BackendId(zone.value() + i));
        return new ZoneLoad(zone, servers, 24, 4 * 80, attempts, 0, 100);
    }

    private static SortedMap<Zone, ZoneLoad> loads(ZoneLoad... loads) {
        SortedMap<Zone, ZoneLoad> all = TreeMap.empty();
        for (ZoneLoad load : loads) {
            all = all.put(load.zone(), load);
        }
        return all;
    }

    /** Applies the same loads until the fractions have settled, as if moving had no effect on the loads yet. */
    private static ZoneSpill after(ZoneSpill start, long ms, boolean informed, ZoneLoad... loads) {
        ZoneSpill spill = start;
        long from = Math.max(0, start.atMs());
        for (long t = from + 100; t <= from + ms; t += 100) {
            spill = spill.update(t, loads(loads), informed, CALL);
        }
        return spill;
    }

    private static ZoneSpill fresh() {
        return ZoneSpill.initial(OWN);
    }

    @Test
    void movesHalfOfTheExcessIfAnotherZoneIsAsLarge() {
        ZoneSpill spill = fresh().update(100, loads(slots(OWN, 72), slots(OTHER, 24)), true, CALL);
        assertThat(spill.fraction()).isBetween(0.28, 0.34);
    }

    @Test
    void sendsMoreToTheZoneWithMoreFreeSlots() {
        ZoneSpill spill = fresh().update(100, loads(slots(OWN, 72), slots(OTHER, 20), slots(THIRD, 8)), true, CALL);
        assertThat(spill.fractions().get(THIRD).get())
                .isGreaterThan(spill.fractions().get(OTHER).get());
    }

    @Test
    void staysIfTheOtherZoneIsShortToo() {
        assertThat(after(fresh(), 3_000, true, slots(OWN, 72), slots(OTHER, 72)).isActive())
                .isFalse();
    }

    /** A single zone's requests would come back and leave again with every report. */
    @Test
    void endsAtAShorterWaitThanItStartsAt() {
        ZoneLoad slightly = slots(OWN, 28);
        assertThat(after(fresh(), 3_000, true, slightly, slots(OTHER, 20)).isActive())
                .isFalse();
        ZoneSpill active = after(fresh(), 500, true, slots(OWN, 72), slots(OTHER, 20));
        assertThat(after(active, 500, true, slightly, slots(OTHER, 20)).isActive())
                .isTrue();
        assertThat(after(active, 20_000, true, slots(OWN, 4), slots(OTHER, 20)).isActive())
                .isFalse();
    }

    @Test
    void returnsRequestsAsTheOwnZoneGetsFreeSlots() {
        ZoneSpill active = after(fresh(), 1_000, true, slots(OWN, 72), slots(OTHER, 20));
        ZoneSpill later = after(active, 2_000, true, slots(OWN, 18), slots(OTHER, 24));
        assertThat(later.fraction()).isLessThan(active.fraction());
    }

    @Test
    void drawsTheZonesByTheirFractions() {
        ZoneSpill spill = after(fresh(), 1_000, true, slots(OWN, 72), slots(OTHER, 20), slots(THIRD, 8));
        long left = IntStream.range(0, 10_000)
                .filter(i -> !spill.pick(SplitMix.draw(3, i)).equals(Optional.of(OWN)))
                .count();
        assertThat(left / 10_000.0).isBetween(spill.fraction() - 0.03, spill.fraction() + 0.03);
    }

    /** The load of a zone is unknown if no node reports on it; its servers then look idle. */
    @Test
    void leavesAtOnceNoMoreRequestsWithoutReports() {
        ZoneSpill active = after(fresh(), 1_000, true, slots(OWN, 72), slots(OTHER, 20));
        ZoneSpill blind = active.update(active.atMs() + 100, loads(slots(OWN, 72), slots(OTHER, 0)), false, CALL);
        assertThat(blind.isActive()).isFalse();
        assertThat(blind.pick(5)).contains(OWN);
    }

    @Test
    void dropsAZoneWithoutUsableServersAtOnce() {
        ZoneSpill active = after(fresh(), 1_000, true, slots(OWN, 72), slots(OTHER, 20), slots(THIRD, 8));
        ZoneSpill next = active.update(active.atMs() + 100, loads(slots(OWN, 72), slots(THIRD, 8)), true, CALL);
        assertThat(next.fractions().containsKey(OTHER)).isFalse();
        assertThat(next.fractions().containsKey(THIRD)).isTrue();
    }

    @Test
    void usesAnyKnownZoneIfItsOwnHasNoServer() {
        ZoneSpill spill = fresh().update(100, loads(slots(OTHER, 20), slots(THIRD, 8)), true, CALL);
        assertThat(IntStream.range(0, 100)
                        .mapToObj(i -> spill.pick(SplitMix.draw(3, i)).orElseThrow()))
                .containsOnly(OTHER, THIRD);
        ZoneSpill blind = spill.update(200, loads(slots(OTHER, 20), slots(THIRD, 8)), false, CALL);
        assertThat(blind.pick(5)).isEmpty();
    }

    /** A node that has just started does not know how long requests take, nor has it any reports. */
    @Test
    void makesNoDecisionFromMissingFigures() {
        assertThat(fresh().pick(5)).isEmpty();
        ZoneLoad unknown = new ZoneLoad(OWN, HashSet.of(new BackendId("a0")), 6, 80, 30, 0, 0);
        assertThat(after(fresh(), 1_000, true, unknown, slots(OTHER, 0)).isActive())
                .isFalse();
        assertThat(after(fresh(), 1_000, true, slots(OWN, 0), slots(OTHER, 0)).isActive())
                .isFalse();
    }
}
