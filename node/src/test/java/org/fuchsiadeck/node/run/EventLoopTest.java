package org.fuchsiadeck.node.run;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;

import com.codahale.metrics.MetricRegistry;
import org.fuchsiadeck.core.Effect;
import org.fuchsiadeck.core.Event;
import org.fuchsiadeck.core.Identity;
import org.fuchsiadeck.core.NodeState;
import org.fuchsiadeck.core.Step;
import org.fuchsiadeck.core.model.Address;
import org.fuchsiadeck.core.model.NodeId;
import org.fuchsiadeck.core.model.Zone;
import org.fuchsiadeck.node.testing.Await;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class EventLoopTest {
    private static final int MORE_THAN_FIT = 20_000;

    private record Note(String text) implements Event {}

    private final List<String> seen = new CopyOnWriteArrayList<>();
    private final NodeState initial =
            NodeState.initial(new Identity(new NodeId("n"), new Zone("z"), new Address("127.0.0.1", 1), 1));

    @Test
    void deliversTimersInTheOrderOfTheirTimesAndThenOfTheirRequests() throws Exception {
        EventReducer decisions = (state, now, wall, event) -> {
            seen.add(((Note) event).text());
            return event.equals(new Note("go"))
                    ? Step.of(state, later(now + 30, "c"), later(now + 10, "a"), later(now + 10, "b"))
                    : Step.of(state);
        };
        try (EventLoop loop = loop(decisions, e -> {})) {
            loop.post(new Note("go"));
            Await.until("all timers", () -> seen.size() == 4);
            assertThat(seen).containsExactly("go", "a", "b", "c");
        }
    }

    /** The loop is behind when the time limit of a connection passes that has been made in time. */
    @Test
    void takesAnEventBeforeATimerThatBecameDueAfterIt() throws Exception {
        CountDownLatch held = new CountDownLatch(1);
        EventReducer decisions = (state, now, wall, event) -> {
            seen.add(((Note) event).text());
            if (event.equals(new Note("go"))) {
                return Step.of(state, later(now + 30, "time limit"), new Effect.Stop());
            }
            return Step.of(state);
        };
        try (EventLoop loop = loop(decisions, e -> awaitQuietly(held))) {
            loop.post(new Note("go"));
            Await.until("the effect", () -> seen.contains("go"));
            loop.post(new Note("connected"));
            long late = loop.nowMs() + 100;
            Await.until("the time limit", () -> loop.nowMs() > late);
            loop.post(new Note("after"));
            held.countDown();
            Await.until("all", () -> seen.size() == 4);
        }
        assertThat(seen).containsExactly("go", "connected", "time limit", "after");
    }

    @Test
    void goesOnAfterAFailureOfTheReducerOrOfAnEffect() throws Exception {
        EventReducer decisions = (state, now, wall, event) -> {
            if (event.equals(new Note("bad"))) {
                throw new IllegalStateException("bad");
            }
            return Step.of(state, new Effect.Stop(), new Effect.Stop());
        };
        EffectHandler<Effect> effects = e -> {
            seen.add("effect");
            throw new IllegalStateException("effect");
        };
        try (EventLoop loop = loop(decisions, effects)) {
            loop.post(new Note("bad"));
            loop.post(new Note("good"));
            Await.until("both effects", () -> seen.size() == 2);
        }
    }

    @Test
    void refusesNewWorkButNoResultsWhenTooManyEventsWait() throws Exception {
        CountDownLatch blocked = new CountDownLatch(1);
        EventReducer decisions = (state, now, wall, event) -> {
            awaitQuietly(blocked);
            seen.add("event");
            return Step.of(state);
        };
        try (EventLoop loop = loop(decisions, e -> {})) {
            int taken = 0;
            while (taken < MORE_THAN_FIT && loop.offer(new Note("new"))) {
                taken++;
            }
            assertThat(taken).isLessThan(MORE_THAN_FIT);
            loop.post(new Note("result"));
            blocked.countDown();
            int expected = taken + 1;
            Await.until("all that was taken", () -> seen.size() == expected);
        }
    }

    private EventLoop loop(EventReducer decisions, EffectHandler<Effect> effects) {
        EventLoop loop = new EventLoop(initial, decisions, effects, new MetricRegistry());
        loop.start();
        return loop;
    }

    private static Effect later(long atMs, String text) {
        return new Effect.Schedule(atMs, new Note(text));
    }

    private static void awaitQuietly(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
