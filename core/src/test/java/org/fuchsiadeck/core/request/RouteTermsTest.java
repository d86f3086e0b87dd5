package org.fuchsiadeck.core.request;

import java.util.List;

import org.fuchsiadeck.core.Effect;
import org.fuchsiadeck.core.config.Policy;
import org.fuchsiadeck.core.config.Route;
import org.fuchsiadeck.core.config.RouteOptions;
import org.fuchsiadeck.core.model.Backend;
import org.fuchsiadeck.core.model.RequestId;
import org.fuchsiadeck.core.platform.PlatformEvent;
import org.fuchsiadeck.core.share.ShareEvent;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Routes with a target, a number of attempts and streams that end with their caller. */
class RouteTermsTest {
    private static final long LONG_MS = 60_000;
    private static final RouteOptions TWO = new RouteOptions("", false, true, false, 2, 100, List.of());
    private static final RouteOptions STREAM = new RouteOptions("", false, true, true, 1, 800, List.of());
    private static final Route READ =
            new Route("read", "registers", Backend.Kind.APPLICATION, "GET", "/read", true, 2_000, 1_000, 5, TWO);
    private static final Route POST =
            new Route("post", "registers", Backend.Kind.APPLICATION, "POST", "/post", false, 2_000, 1_000, 5, TWO);
    private static final Route ONCE =
            new Route("once", "assistant", Backend.Kind.ENGINE, "POST", "/once", false, 8_000, 1_000, 5, STREAM);

    private final Harness node = new Harness();

    @BeforeEach
    void start() {
        node.policy = new Policy(300, LONG_MS, LONG_MS, LONG_MS, 1_000, 3, 10, 32, 256, 2_000, 500, 5, 600_000, 100);
        node.routes = List.of(READ, POST, ONCE);
        node.list(Harness.app("a1"), Harness.app("a2"), Harness.app("a3"), Harness.engine("e1", "v1"));
    }

    private static List<RequestEffect.Dispatch> dispatches(List<Effect> effects) {
        return Harness.of(effects, RequestEffect.Dispatch.class);
    }

    @Test
    void asksAnotherServerWhenOneIsSilentForSeveralTargets() {
        node.arrive("r", READ);
        node.writing("r", 1);
        List<Effect> effects = node.advance(700);
        assertThat(dispatches(effects)).hasSize(1);
    }

    @Test
    void waitsForASilentServerWhenThereIsNoOther() {
        node.list(Harness.app("a1"));
        node.arrive("r", READ);
        node.writing("r", 1);
        assertThat(Harness.of(node.advance(1_900), RequestEffect.Cancel.class)).isEmpty();
        assertThat(Harness.of(node.completed("r", 1), RequestEffect.Relay.class))
                .hasSize(1);
    }

    @Test
    void waitsForTheLastServerThatARequestMayRunOn() {
        node.arrive("r", READ);
        node.writing("r", 1);
        node.advance(600);
        node.writing("r", 2);
        assertThat(Harness.of(node.advance(1_300), RequestEffect.Cancel.class)).isEmpty();
    }

    @Test
    void waitsForTheAnswerOfWhatMustNotRunTwiceUntilItsTimeIsOver() {
        node.arrive("r", POST);
        node.writing("r", 1);
        assertThat(dispatches(node.advance(1_900))).isEmpty();
        assertThat(Harness.respond(node.advance(200)).status()).isEqualTo(504);
    }

    @Test
    void runsARequestOnNoMoreServersThanItsRouteAllows() {
        node.arrive("r", READ);
        node.writing("r", 1);
        node.advance(600);
        node.writing("r", 2);
        assertThat(dispatches(node.advance(1_000))).isEmpty();
    }

    @Test
    void cancelsAStreamThatMayNotRunTwiceWhenItsCallerLeaves() {
        node.arrive("r", ONCE);
        node.writing("r", 1);
        assertThat(node.take(new RequestEvent.CallerGone(new RequestId("r"))))
                .anyMatch(RequestEffect.Cancel.class::isInstance);
    }

    @Test
    void letsWhatMustNotRunTwiceEndWithoutItsCaller() {
        node.arrive("r", POST);
        node.writing("r", 1);
        assertThat(node.take(new RequestEvent.CallerGone(new RequestId("r"))))
                .noneMatch(RequestEffect.Cancel.class::isInstance);
    }

    /** Two zones of reclaimable servers are taken away within a second. */
    @Test
    void movesARequestToNoMoreServersThanItsRouteAllows() {
        node.arrive("r", READ);
        node.writing("r", 1);
        List<RequestEffect.Dispatch> moved = dispatches(leaving(node.effects));
        assertThat(moved).hasSize(1);
        node.writing("r", 2);
        assertThat(dispatches(leaving(node.effects))).isEmpty();
        assertThat(node.state.decisions().last().kind()).isEqualTo(Decision.Kind.STAYS);
    }

    /** Servers run requests whose answers are lost with their connections. */
    @Test
    void aRequestWhoseAnswerIsLostCountsAsUsedOnce() {
        node.arrive("post", POST);
        node.writing("post", 1);
        node.failed("post", 1, Failure.Step.AWAITING, Failure.Kind.CLOSED);
        assertThat(Harness.raised(node.effects, ShareEvent.Begun.class)).hasSize(1);
        node.arrive("read", READ);
        node.writing("read", 1);
        node.failed("read", 1, Failure.Step.AWAITING, Failure.Kind.CLOSED);
        node.writing("read", 2);
        node.completed("read", 2);
        assertThat(Harness.raised(node.effects, ShareEvent.Begun.class)).hasSize(2);
    }

    @Test
    void aRequestCountsAsUsedThoughItsFirstServerWasSilent() {
        node.arrive("read", READ);
        node.writing("read", 1);
        node.advance(600);
        assertThat(Harness.raised(node.effects, ShareEvent.Begun.class)).isEmpty();
        node.writing("read", 2);
        node.completed("read", 2);
        assertThat(Harness.raised(node.effects, ShareEvent.Begun.class)).hasSize(1);
    }

    private List<Effect> leaving(List<Effect> before) {
        List<RequestEffect.Dispatch> all = dispatches(before);
        String at = all.get(all.size() - 1).backend().id().value();
        return node.take(new PlatformEvent.ReclaimNoticed(at, 10));
    }
}
