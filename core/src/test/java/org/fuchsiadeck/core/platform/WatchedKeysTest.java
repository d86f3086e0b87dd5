package org.fuchsiadeck.core.platform;

import java.util.List;
import java.util.Optional;

import org.fuchsiadeck.core.Effect;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against copies of keys that miss changes, or that are out of date for long after lost calls.
 */
class WatchedKeysTest {
    private WatchedKeys keys = WatchedKeys.of("p/", 2_000);
    private PlatformEffect lastCall;

    private boolean apply(WatchedKeys.Update update) {
        keys = update.next();
        update.effects().stream()
                .filter(PlatformEffect.class::isInstance)
                .map(PlatformEffect.class::cast)
                .forEach(e -> lastCall = e);
        return update.changed();
    }

    private static PlatformEvent.Entry entry(String key, String value, long revision) {
        return new PlatformEvent.Entry("p/" + key, Optional.ofNullable(value), revision);
    }

    private boolean answerListing(long now, long revision, PlatformEvent.Entry... entries) {
        return apply(
                keys.onPlatformEvent(now, new PlatformEvent.KeysListed(lastCall.tag(), List.of(entries), revision)));
    }

    private boolean answerWatch(long now, long revision, PlatformEvent.Entry... entries) {
        return apply(keys.onPlatformEvent(
                now, new PlatformEvent.Watched(lastCall.tag(), List.of(entries), revision, false)));
    }

    @Test
    void listsOnceAndThenAppliesChanges() {
        apply(keys.onTick(0));
        assertThat(lastCall).isInstanceOf(PlatformEffect.ListKeys.class);
        assertThat(answerListing(5, 10, entry("a", "1", 9))).isTrue();
        assertThat(lastCall).isInstanceOf(PlatformEffect.Watch.class);
        assertThat(((PlatformEffect.Watch) lastCall).afterRevision()).isEqualTo(10);
        assertThat(answerWatch(10, 12, entry("b", "2", 11), entry("a", null, 12)))
                .isTrue();
        assertThat(keys.items().keySet()).containsExactly("p/b");
    }

    @Test
    void ignoresChangesOlderThanItsCopy() {
        apply(keys.onTick(0));
        answerListing(5, 10, entry("a", "new", 9));
        assertThat(answerWatch(10, 12, entry("a", "old", 8))).isFalse();
        assertThat(keys.items().get("p/a").get().value()).contains("new");
    }

    @Test
    void relistsAfterAGapAndKeepsTheCopyMeanwhile() {
        apply(keys.onTick(0));
        answerListing(5, 10, entry("a", "1", 9), entry("b", "1", 9));
        apply(keys.onPlatformEvent(10, new PlatformEvent.Watched(lastCall.tag(), List.of(), 10, true)));
        assertThat(keys.items().size()).isEqualTo(2);
        assertThat(lastCall).isInstanceOf(PlatformEffect.ListKeys.class);
        assertThat(answerListing(15, 30, entry("a", "1", 9))).isTrue();
        assertThat(keys.items().keySet()).containsExactly("p/a");
    }

    /**
     * Guards against retries that wait too long: a node that was cut off must send a call soon after the network is back, to
     * learn which servers are leaving.
     */
    @Test
    void resumesSoonAfterALongNetworkOutage() {
        for (long healMs = 8_000; healMs < 12_000; healMs += 150) {
            keys = WatchedKeys.of("p/", 2_000).withSeed(healMs);
            lastCall = null;
            apply(keys.onTick(0));
            answerListing(5, 10, entry("a", "1", 9));
            PlatformEffect unanswered = lastCall;
            long now = 10;
            while (now < healMs || lastCall == unanswered) {
                unanswered = now < healMs ? lastCall : unanswered;
                now += 50;
                apply(keys.onTick(now));
            }
            assertThat(now + WatchedKeys.WAIT_AFTER_FAILURE_MS - healMs)
                    .as("healed at " + healMs)
                    .isLessThan(1_500);
        }
    }

    @Test
    void resumesAtItsPositionAfterASilentConnection() {
        apply(keys.onTick(0));
        answerListing(5, 10, entry("a", "1", 9));
        PlatformEffect silent = lastCall;
        for (long now = 10; now < 4_000 && lastCall == silent; now += 50) {
            apply(keys.onTick(now));
        }
        assertThat(lastCall).isNotEqualTo(silent).isInstanceOf(PlatformEffect.Watch.class);
        assertThat(((PlatformEffect.Watch) lastCall).afterRevision()).isEqualTo(10);
        assertThat(apply(keys.onPlatformEvent(
                        4_000, new PlatformEvent.Watched(silent.tag(), List.of(entry("a", null, 11)), 11, false))))
                .isFalse();
    }

    /** Guards against one call of every node for each change when many servers of a zone are reclaimed. */
    @Test
    void coalescesChangesWithinTheSettleTime() {
        keys = keys.withTiming(30_000, 1_500);
        apply(keys.onTick(0));
        answerListing(5, 10, entry("a", "1", 9));
        answerWatch(10, 11, entry("a", "2", 11));
        PlatformEffect previous = lastCall;
        apply(keys.onTick(1_000));
        assertThat(lastCall).isSameAs(previous);
        apply(keys.onTick(1_510));
        assertThat(((PlatformEffect.Watch) lastCall).afterRevision()).isEqualTo(11);
    }

    @Test
    void abandonsALongWatchThatMissedARevisionReportedByPeers() {
        keys = keys.withTiming(30_000, 0);
        apply(keys.onTick(0));
        answerListing(5, 10, entry("a", "1", 9));
        PlatformEffect silent = lastCall;
        apply(keys.onPeerRevision(2_000, 10));
        assertThat(keys.call()).isPresent();
        apply(keys.onPeerRevision(2_000, 11));
        assertThat(keys.call()).isEmpty();
        for (long now = 2_000; now < 2_500 && lastCall == silent; now += 50) {
            apply(keys.onTick(now));
        }
        assertThat(((PlatformEffect.Watch) lastCall).afterRevision()).isEqualTo(10);
        assertThat(((PlatformEffect.Watch) lastCall).waitMs()).isEqualTo(WatchedKeys.WAIT_AFTER_FAILURE_MS);
    }

    @Test
    void onlyTheFirstListingMayBeStale() {
        apply(keys.onTick(0));
        assertThat(((PlatformEffect.ListKeys) lastCall).current()).isFalse();
        answerListing(5, 10, entry("a", "1", 9));
        apply(keys.onPlatformEvent(10, new PlatformEvent.Watched(lastCall.tag(), List.of(), 10, true)));
        assertThat(((PlatformEffect.ListKeys) lastCall).current()).isTrue();
    }

    @Test
    void logsOnceThatTheServiceIsUnavailableAndAvailableAgain() {
        apply(keys.onTick(0));
        int lines = 0;
        for (long now = 0; now < 5_000; now += 50) {
            List<Effect> effects = keys.onTick(now).effects();
            apply(keys.onTick(now));
            if (keys.call().isPresent() && !effects.isEmpty()) {
                WatchedKeys.Update failed =
                        keys.onPlatformEvent(now, new PlatformEvent.CallFailed(lastCall.tag(), "refused", true));
                lines += (int) failed.effects().stream()
                        .filter(Effect.Log.class::isInstance)
                        .count();
                apply(failed);
            }
        }
        assertThat(lines).isEqualTo(1);
        while (keys.call().isEmpty()) {
            apply(keys.onTick(keys.nextMs()));
        }
        WatchedKeys.Update answered =
                keys.onPlatformEvent(6_000, new PlatformEvent.KeysListed(lastCall.tag(), List.of(), 3));
        assertThat(answered.effects()).anyMatch(Effect.Log.class::isInstance);
    }
}
