package org.fuchsiadeck.core.routing;

import java.util.List;
import java.util.Set;

import io.vavr.collection.Array;
import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import org.fuchsiadeck.core.model.Address;
import org.fuchsiadeck.core.model.Backend;
import org.fuchsiadeck.core.model.BackendId;
import org.fuchsiadeck.core.model.BackendReport;
import org.fuchsiadeck.core.model.Zone;
import org.fuchsiadeck.core.routing.Health.Evidence;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests the routers, and the server health and prefix history on which their choices depend. */
class RouterTest {
    private static final Zone NEAR = new Zone("near");
    private Map<BackendId, BackendStatus> servers = HashMap.empty();
    private SentPrefixes sent = SentPrefixes.EMPTY;

    @Test
    void prefersTheLessLoadedOfTwo() {
        add("a", NEAR, 1, 3);
        add("b", NEAR, 1, 0);
        assertThat(counts(Router.betterOfTwo(), List.of())).containsExactly(0, 100);
    }

    @Test
    void prefersTheNearZoneAndTheLowPriceAtEqualLoad() {
        add("a", new Zone("far"), 1, 0);
        add("b", NEAR, 1, 0);
        assertThat(counts(Router.betterOfTwo(), List.of())).containsExactly(0, 100);
        servers = HashMap.empty();
        add("a", NEAR, 1, 0);
        add("b", NEAR, 2, 0);
        assertThat(counts(Router.betterOfTwo(), List.of())).containsExactly(100, 0);
    }

    @Test
    void prefersTheServerThatHasThePrefixCachedUnlessItIsFarMoreLoaded() {
        add("a", NEAR, 1, 1);
        add("b", NEAR, 1, 0);
        sent = sent.withSent(List.of(1L, 2L, 3L), new BackendId("a"));
        assertThat(counts(Router.betterOfTwo(), List.of(1L, 2L, 9L))).containsExactly(100, 0);
        servers = HashMap.empty();
        add("a", NEAR, 1, 3);
        add("b", NEAR, 1, 0);
        assertThat(counts(Router.betterOfTwo(), List.of(1L, 2L, 9L))).containsExactly(0, 100);
    }

    @Test
    void weighsReportedLoadLessAsItAges() {
        BackendReport.Load reported = new BackendReport.Load(3, 1, 0);
        ReportedLoad load = ReportedLoad.of(reported, 1, 0);
        assertThat(load.estimate(0)).isEqualTo(3);
        assertThat(load.estimate(2_500)).isEqualTo(1.5);
        assertThat(load.estimate(60_000)).isZero();
    }

    @Test
    void baselinesUseServersInTurnOrTheLeastBusyServer() {
        add("a", NEAR, 1, 3);
        add("b", NEAR, 1, 0);
        assertThat(counts(Router.roundRobin(), List.of())).containsExactly(50, 50);
        assertThat(counts(Router.leastInFlight(), List.of())).containsExactly(0, 100);
    }

    @Test
    void doesNotSuspectAServerAfterOneSilentConnection() {
        Health once = Health.GOOD.withFailure(Evidence.CONNECTION, false, 0, 2_000);
        assertThat(once.isSuspected(0)).isFalse();
        assertThat(once.isClean()).isFalse();
        Health twice = once.withFailure(Evidence.CONNECTION, false, 0, 2_000);
        assertThat(twice.isSuspected(1_999)).isTrue();
        assertThat(twice.isTrialDue(2_000)).isTrue();
        assertThat(twice.withDispatch(2_000).isSuspected(2_000)).isTrue();
    }

    @Test
    void doublesTheSuspicionPeriodAfterAFailedTrial() {
        Health suspected = Health.GOOD.withFailure(Evidence.SERVER, false, 0, 2_000);
        Health suspectedAgain = suspected.withDispatch(2_000).withFailure(Evidence.SERVER, true, 2_000, 2_000);
        assertThat(suspectedAgain.isSuspected(5_999)).isTrue();
        assertThat(suspectedAgain.isSuspected(6_000)).isFalse();
    }

    @Test
    void evictsTheOldestPrefixes() {
        for (long i = 0; i < 10_000; i++) {
            sent = sent.withSent(List.of(i), new BackendId("a"));
        }
        assertThat(sent.holders(List.of(0L))).isEmpty();
        assertThat(sent.holders(List.of(9_999L))).isNotEmpty();
        assertThat(sent.order().size()).isEqualTo(sent.holders().size()).isLessThan(9_000);
    }

    private int[] counts(Router router, List<Long> prefix) {
        Array<BackendId> ids = servers.keySet().toArray().sorted();
        Candidates candidates = new Candidates(ids, servers::get);
        int[] counts = new int[ids.size()];
        for (int i = 0; i < 100; i++) {
            RoutingContext context = new RoutingContext(0, NEAR, prefix, sent, SplitMix.draw(7, i), i);
            Choice choice = router.choose(candidates, context).get();
            counts[ids.indexOf(choice.server().backend().id())]++;
        }
        return counts;
    }

    private void add(String id, Zone zone, double price, int inFlight) {
        Backend backend = new Backend(
                new BackendId(id),
                new Address("127.0.0.1", 1),
                zone,
                Backend.Kind.ENGINE,
                "assistant",
                "v1",
                Set.of(),
                Set.of(),
                Set.of(),
                4,
                price,
                true,
                false);
        servers = servers.put(backend.id(), BackendStatus.initial(backend, 32).plusAttempts(inFlight));
    }
}
