package org.fuchsiadeck.core.desk;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import io.vavr.control.Either;
import org.fuchsiadeck.core.Effect;
import org.fuchsiadeck.core.Event;
import org.fuchsiadeck.core.Identity;
import org.fuchsiadeck.core.LifecycleEvent;
import org.fuchsiadeck.core.Step;
import org.fuchsiadeck.core.View;
import org.fuchsiadeck.core.config.Configuration;
import org.fuchsiadeck.core.model.Address;
import org.fuchsiadeck.core.model.Backend;
import org.fuchsiadeck.core.model.BackendId;
import org.fuchsiadeck.core.model.NodeId;
import org.fuchsiadeck.core.model.Peers;
import org.fuchsiadeck.core.model.VersionShares;
import org.fuchsiadeck.core.model.Zone;
import org.fuchsiadeck.core.platform.PlatformEffect;
import org.fuchsiadeck.core.platform.PlatformEvent;
import org.fuchsiadeck.core.platform.Position;
import org.fuchsiadeck.core.rollout.Rollout;
import org.fuchsiadeck.core.rollout.RolloutEvent;
import org.fuchsiadeck.core.rollout.RolloutOrder;
import org.fuchsiadeck.core.rollout.RolloutReducer;
import org.fuchsiadeck.core.rollout.RolloutSchedule;
import org.fuchsiadeck.core.rollout.RolloutStage;
import org.fuchsiadeck.core.rollout.RolloutState;
import org.fuchsiadeck.core.rollout.SequentialRule;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Runs the reducers of rollout orders and of rollouts of one node against a key-value service that accepts all writes.
 * Guards against an order that is not completed by its due time and against traffic to an ordered version before its
 * rollout.
 */
class RolloutOrderReducerTest {
    private static final Identity SELF = new Identity(new NodeId("n1"), new Zone("z"), new Address("10.0.0.1", 1), 1);
    private static final long WALL = 1_000_000L;
    private static final long DURATION_MS = 12_000;

    private final RolloutOrderReducer orderReducer = new RolloutOrderReducer(new Codec());
    private final RolloutReducer rollouts = new RolloutReducer(new SequentialRule(3), RolloutSchedule.DONE_BY_DUE);
    private RolloutOrderState state = RolloutOrderState.initial();
    private RolloutState rolloutState = RolloutState.initial();
    private final List<String> statuses = new ArrayList<>();
    private PlatformEvent.Entry storedRollouts;
    private long revision = 20;
    private long era;
    private String lastWatch = "";
    private long now;

    private static final class Codec implements RolloutOrderCodec {
        @Override
        public Either<String, RolloutOrder> parseOrder(String value, long number) {
            return value.isEmpty()
                    ? Either.left("empty")
                    : Either.right(new RolloutOrder("app", value, DURATION_MS, number));
        }

        @Override
        public String serializeStatus(String target, RolloutStatus status) {
            return target + " " + status;
        }
    }

    private static Backend server(String id, String version) {
        return new Backend(
                new BackendId(id),
                new Address("10.0.0.2", 1),
                new Zone("z"),
                Backend.Kind.APPLICATION,
                "app",
                version,
                Set.of(),
                Set.of(),
                Set.of(),
                1,
                1,
                false,
                false);
    }

    private void handle(Event event) {
        View view = new View(SELF, now, WALL + now, Configuration.NONE, VersionShares.NONE, Peers.NONE);
        Step<RolloutState> first = rollouts.reduce(rolloutState, view, event);
        rolloutState = first.state();
        Step<RolloutOrderState> second = orderReducer.reduce(state, view, event);
        state = second.state();
        List<Effect> effects = new ArrayList<>(first.effects());
        effects.addAll(second.effects());
        effects.forEach(this::run);
    }

    private void run(Effect effect) {
        if (effect instanceof Effect.Raise raise) {
            handle(raise.event());
        } else if (effect instanceof PlatformEffect.Put put) {
            revision++;
            if (put.key().startsWith("rollout-status/")) {
                statuses.add(put.value());
            } else {
                storedRollouts = new PlatformEvent.Entry(put.key(), Optional.of(put.value()), revision);
            }
            handle(new PlatformEvent.Written(put.tag(), revision));
        } else if (effect instanceof PlatformEffect.Get get) {
            handle(new PlatformEvent.Found(get.tag(), Optional.ofNullable(storedRollouts), revision));
        } else if (effect instanceof PlatformEffect.ListKeys list) {
            handle(new PlatformEvent.KeysListed(
                    list.tag(),
                    List.of(new PlatformEvent.Entry("rollout-orders/app", Optional.of("v2"), Position.of(era, 15))),
                    Position.of(era, revision)));
        } else if (effect instanceof PlatformEffect.Watch watch
                && watch.prefix().equals("rollout-orders/")) {
            lastWatch = watch.tag();
        }
    }

    private void run(long ms) {
        long until = now + ms;
        while (now < until) {
            now += 250;
            handle(new RolloutOrderEvent.Tick());
            handle(new RolloutEvent.Tick());
        }
    }

    private Rollout rollout() {
        return rolloutState.book().rollouts().get("app").get();
    }

    /** The order of a finished rollout was taken for a new one, as it had a later position. */
    @Test
    void writesTheStatusAgainAndStartsNothingAfterTheServiceWentBackToACopyWithTheOrder() {
        handle(new PlatformEvent.Listed(List.of(server("a", "v1"), server("b", "v2")), List.of()));
        handle(new LifecycleEvent.Started());
        run(2 * DURATION_MS);
        assertThat(rollout().stage()).isEqualTo(RolloutStage.DONE);
        long number = rollout().number();
        int statusesBefore = statuses.size();
        era = 1;
        handle(new PlatformEvent.Watched(lastWatch, List.of(), revision, true));
        run(DURATION_MS);
        assertThat(rollout().number()).isEqualTo(number);
        assertThat(rollout().stage()).isEqualTo(RolloutStage.DONE);
        assertThat(statuses.subList(statusesBefore, statuses.size())).containsExactly("v2 DONE");
    }

    @Test
    void completesRolloutByDueTimeAndWritesStatus() {
        handle(new PlatformEvent.Listed(List.of(server("a", "v1"), server("b", "v2")), List.of()));
        handle(new LifecycleEvent.Started());
        run(1_000);
        assertThat(rollout().stage()).isEqualTo(RolloutStage.EARLY);
        assertThat(rollout().newVersionShare()).isLessThanOrEqualTo(0.1);
        run((long) (DURATION_MS * 0.6));
        assertThat(rollout().stage()).isEqualTo(RolloutStage.EARLY);
        run((long) (DURATION_MS * 0.35));
        assertThat(rollout().stage()).isEqualTo(RolloutStage.DONE);
        assertThat(statuses).first().isEqualTo("v2 RUNNING");
        assertThat(statuses).last().isEqualTo("v2 DONE");
    }

    @Test
    void withholdsOrderedVersionBeforeRolloutIsStored() {
        handle(new PlatformEvent.Listed(List.of(server("a", "v1"), server("b", "v2")), List.of()));
        handle(new RolloutEvent.Ordered(new RolloutOrder("app", "v2", DURATION_MS, 15)));
        VersionShares.Split split = rolloutState.shares().services().get("app");
        assertThat(split.oldVersion()).isEqualTo("v1");
        assertThat(split.newShare()).isZero();
    }
}
