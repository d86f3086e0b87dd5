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

/**
 * Guards against requests that ignore their route's options: the latency target, the maximum number of attempts, and
 * the cancelling of streams whose caller disconnects.
 */
class RouteOptionsTest {
    private static final long LONG_MS = 60_000;
    private static final RouteOptions TWO_ATTEMPTS = new RouteOptions("", false, true, false, 2, 100, List.of());
    private static final RouteOptions SINGLE_ATTEMPT_STREAM =
            new RouteOptions("", false, true, true, 1, 800, List.of());
    private static final Route READ = new Route(
            "read", "registers", Backend.Kind.APPLICATION, "GET", "/read", true, 2_000, 1_000, 5, TWO_ATTEMPTS);
    private static final Route POST = new Route(
            "post", "registers", Backend.Kind.APPLICATION, "POST", "/post", false, 2_000, 1_000, 5, TWO_ATTEMPTS);
    private static final Route ONCE = new Route(
            "once", "assistant", Backend.Kind.ENGINE, "POST", "/once", false, 8_000, 1_000, 5, SINGLE_ATTEMPT_STREAM);

    private final Harness node = new Harness();

    @BeforeEach
    void start() {
        node.policy = new Policy(300, LONG_MS, LONG_MS, LONG_MS, 1_000, 3, 10, 32, 256, 2_000, 500, 5, 600_000, 100, 0);
        node.routes = List.of(READ, POST, ONCE);
        node.listBackends(Harness.app("a1"), Harness.app("a2"), Harness.app("a3"), Harness.engine("e1", "v1"));
    }

    private static List<RequestEffect.Dispatch> dispatches(List<Effect> effects) {
        return Harness.effectsOfType(effects, RequestEffect.Dispatch.class);
    }

    @Test
    void dispatchesToAnotherServerWhenOneIsSilentForSeveralTargets() {
        node.arrive("r", READ);
        node.startWriting("r", 1);
        List<Effect> effects = node.advance(700);
        assertThat(dispatches(effects)).hasSize(1);
    }

    @Test
    void waitsForASilentServerWhenItIsTheOnlyOne() {
        node.listBackends(Harness.app("a1"));
        node.arrive("r", READ);
        node.startWriting("r", 1);
        assertThat(Harness.effectsOfType(node.advance(1_900), RequestEffect.Cancel.class))
                .isEmpty();
        assertThat(Harness.effectsOfType(node.completeAnswer("r", 1), RequestEffect.Relay.class))
                .hasSize(1);
    }

    @Test
    void doesNotCancelTheLastAllowedAttempt() {
        node.arrive("r", READ);
        node.startWriting("r", 1);
        node.advance(600);
        node.startWriting("r", 2);
        assertThat(Harness.effectsOfType(node.advance(1_300), RequestEffect.Cancel.class))
                .isEmpty();
    }

    @Test
    void waitsForANonIdempotentRequestUntilItsDeadline() {
        node.arrive("r", POST);
        node.startWriting("r", 1);
        assertThat(dispatches(node.advance(1_900))).isEmpty();
        assertThat(Harness.firstResponse(node.advance(200)).status()).isEqualTo(504);
    }

    @Test
    void retriesNoMoreOftenThanTheRouteAllows() {
        node.arrive("r", READ);
        node.startWriting("r", 1);
        node.advance(600);
        node.startWriting("r", 2);
        assertThat(dispatches(node.advance(1_000))).isEmpty();
    }

    @Test
    void cancelsANonIdempotentStreamWhenItsCallerDisconnects() {
        node.arrive("r", ONCE);
        node.startWriting("r", 1);
        assertThat(node.reduce(new RequestEvent.CallerGone(new RequestId("r"))))
                .anyMatch(RequestEffect.Cancel.class::isInstance);
    }

    @Test
    void completesANonIdempotentRequestAfterItsCallerDisconnects() {
        node.arrive("r", POST);
        node.startWriting("r", 1);
        assertThat(node.reduce(new RequestEvent.CallerGone(new RequestId("r"))))
                .noneMatch(RequestEffect.Cancel.class::isInstance);
    }

    /** Two zones of reclaimable servers are reclaimed within a second, and with them the servers of both attempts. */
    @Test
    void movesARequestNoMoreOftenThanTheRouteAllows() {
        node.arrive("r", READ);
        node.startWriting("r", 1);
        List<RequestEffect.Dispatch> moved = dispatches(reclaimLastBackend(node.effects));
        assertThat(moved).hasSize(1);
        node.startWriting("r", 2);
        assertThat(dispatches(reclaimLastBackend(node.effects))).isEmpty();
        assertThat(node.state.decisions().last().kind()).isEqualTo(Decision.Kind.STAYS);
    }

    /** The connection closes after the server received the request, so that the request may have run. */
    @Test
    void countsARequestWithALostAnswerAsUsageOnce() {
        node.arrive("post", POST);
        node.startWriting("post", 1);
        node.failAttempt("post", 1, Failure.Step.AWAITING, Failure.Kind.CLOSED);
        assertThat(Harness.raisedEvents(node.effects, ShareEvent.Begun.class)).hasSize(1);
        node.arrive("read", READ);
        node.startWriting("read", 1);
        node.failAttempt("read", 1, Failure.Step.AWAITING, Failure.Kind.CLOSED);
        node.startWriting("read", 2);
        node.completeAnswer("read", 2);
        assertThat(Harness.raisedEvents(node.effects, ShareEvent.Begun.class)).hasSize(2);
    }

    @Test
    void countsARequestAsUsageOnceAfterASilentFirstServer() {
        node.arrive("read", READ);
        node.startWriting("read", 1);
        node.advance(600);
        assertThat(Harness.raisedEvents(node.effects, ShareEvent.Begun.class)).isEmpty();
        node.startWriting("read", 2);
        node.completeAnswer("read", 2);
        assertThat(Harness.raisedEvents(node.effects, ShareEvent.Begun.class)).hasSize(1);
    }

    private List<Effect> reclaimLastBackend(List<Effect> earlier) {
        List<RequestEffect.Dispatch> dispatches = dispatches(earlier);
        String backend = dispatches.get(dispatches.size() - 1).backend().id().value();
        return node.reduce(new PlatformEvent.ReclaimNoticed(backend, 10));
    }
}
