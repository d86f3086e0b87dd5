package org.fuchsiadeck.core.platform;

import java.util.List;
import java.util.Optional;

import org.fuchsiadeck.core.Effect;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class WatchedKeysTest {
    private WatchedKeys mirror = WatchedKeys.of("p/", 2_000);
    private PlatformEffect last;

    private boolean take(WatchedKeys.Update update) {
        mirror = update.next();
        update.effects().stream()
                .filter(PlatformEffect.class::isInstance)
                .map(PlatformEffect.class::cast)
                .forEach(e -> last = e);
        return update.changed();
    }

    private static PlatformEvent.Entry entry(String key, String value, long revision) {
        return new PlatformEvent.Entry("p/" + key, Optional.ofNullable(value), revision);
    }

    private boolean listed(long now, long revision, PlatformEvent.Entry... entries) {
        return take(mirror.onPlatformEvent(now, new PlatformEvent.KeysListed(last.tag(), List.of(entries), revision)));
    }

    private boolean watched(long now, long revision, PlatformEvent.Entry... entries) {
        return take(
                mirror.onPlatformEvent(now, new PlatformEvent.Watched(last.tag(), List.of(entries), revision, false)));
    }

    @Test
    void listsOnceAndThenAppliesChanges() {
        take(mirror.onTick(0));
        assertThat(last).isInstanceOf(PlatformEffect.ListKeys.class);
        assertThat(listed(5, 10, entry("a", "1", 9))).isTrue();
        assertThat(last).isInstanceOf(PlatformEffect.Watch.class);
        assertThat(((PlatformEffect.Watch) last).afterRevision()).isEqualTo(10);
        assertThat(watched(10, 12, entry("b", "2", 11), entry("a", null, 12))).isTrue();
        assertThat(mirror.items().keySet()).containsExactly("p/b");
    }

    @Test
    void ignoresChangesOlderThanItsCopy() {
        take(mirror.onTick(0));
        listed(5, 10, entry("a", "new", 9));
        assertThat(watched(10, 12, entry("a", "old", 8))).isFalse();
        assertThat(mirror.items().get("p/a").get().value()).contains("new");
    }

    @Test
    void relistsAfterAGapAndKeepsTheCopyMeanwhile() {
        take(mirror.onTick(0));
        listed(5, 10, entry("a", "1", 9), entry("b", "1", 9));
        take(mirror.onPlatformEvent(10, new PlatformEvent.Watched(last.tag(), List.of(), 10, true)));
        assertThat(mirror.items().size()).isEqualTo(2);
        assertThat(last).isInstanceOf(PlatformEffect.ListKeys.class);
        assertThat(listed(15, 30, entry("a", "1", 9))).isTrue();
        assertThat(mirror.items().keySet()).containsExactly("p/a");
    }

    /** A node is cut off for a while; it must know soon after it is back which servers are leaving. */
    @Test
    void resumesSoonAfterALongNetworkOutage() {
        for (long healMs = 8_000; healMs < 12_000; healMs += 150) {
            mirror = WatchedKeys.of("p/", 2_000).withSeed(healMs);
            last = null;
            take(mirror.onTick(0));
            listed(5, 10, entry("a", "1", 9));
            PlatformEffect lost = last;
            long now = 10;
            while (now < healMs || last == lost) {
                lost = now < healMs ? last : lost;
                now += 50;
                take(mirror.onTick(now));
            }
            assertThat(now + WatchedKeys.WAIT_AFTER_FAILURE_MS - healMs)
                    .as("healed at " + healMs)
                    .isLessThan(1_500);
        }
    }

    @Test
    void resumesAtItsPositionAfterASilentConnection() {
        take(mirror.onTick(0));
        listed(5, 10, entry("a", "1", 9));
        PlatformEffect silent = last;
        for (long now = 10; now < 4_000 && last == silent; now += 50) {
            take(mirror.onTick(now));
        }
        assertThat(last).isNotEqualTo(silent).isInstanceOf(PlatformEffect.Watch.class);
        assertThat(((PlatformEffect.Watch) last).afterRevision()).isEqualTo(10);
        assertThat(take(mirror.onPlatformEvent(
                        4_000, new PlatformEvent.Watched(silent.tag(), List.of(entry("a", null, 11)), 11, false))))
                .isFalse();
    }

    /** A zone's servers are taken away: each change by itself would be a call of every node. */
    @Test
    void coalescesChangesWithinTheSettleTime() {
        mirror = mirror.withTiming(30_000, 1_500);
        take(mirror.onTick(0));
        listed(5, 10, entry("a", "1", 9));
        watched(10, 11, entry("a", "2", 11));
        PlatformEffect before = last;
        take(mirror.onTick(1_000));
        assertThat(last).isSameAs(before);
        take(mirror.onTick(1_510));
        assertThat(((PlatformEffect.Watch) last).afterRevision()).isEqualTo(11);
    }

    @Test
    void abandonsALongWatchThatMissedARevisionReportedByPeers() {
        mirror = mirror.withTiming(30_000, 0);
        take(mirror.onTick(0));
        listed(5, 10, entry("a", "1", 9));
        PlatformEffect silent = last;
        take(mirror.onPeerRevision(2_000, 10));
        assertThat(mirror.call()).isPresent();
        take(mirror.onPeerRevision(2_000, 11));
        assertThat(mirror.call()).isEmpty();
        for (long now = 2_000; now < 2_500 && last == silent; now += 50) {
            take(mirror.onTick(now));
        }
        assertThat(((PlatformEffect.Watch) last).afterRevision()).isEqualTo(10);
        assertThat(((PlatformEffect.Watch) last).waitMs()).isEqualTo(WatchedKeys.WAIT_AFTER_FAILURE_MS);
    }

    @Test
    void onlyTheFirstListingMayBeStale() {
        take(mirror.onTick(0));
        assertThat(((PlatformEffect.ListKeys) last).current()).isFalse();
        listed(5, 10, entry("a", "1", 9));
        take(mirror.onPlatformEvent(10, new PlatformEvent.Watched(last.tag(), List.of(), 10, true)));
        assertThat(((PlatformEffect.ListKeys) last).current()).isTrue();
    }

    @Test
    void logsOnceThatTheServiceIsUnavailableAndAvailableAgain() {
        take(mirror.onTick(0));
        int lines = 0;
        for (long now = 0; now < 5_000; now += 50) {
            List<Effect> effects = mirror.onTick(now).effects();
            take(mirror.onTick(now));
            if (mirror.call().isPresent() && !effects.isEmpty()) {
                WatchedKeys.Update failed =
                        mirror.onPlatformEvent(now, new PlatformEvent.CallFailed(last.tag(), "refused", true));
                lines += (int) failed.effects().stream()
                        .filter(Effect.Log.class::isInstance)
                        .count();
                take(failed);
            }
        }
        assertThat(lines).isEqualTo(1);
        while (mirror.call().isEmpty()) {
            take(mirror.onTick(mirror.nextMs()));
        }
        WatchedKeys.Update back = mirror.onPlatformEvent(6_000, new PlatformEvent.KeysListed(last.tag(), List.of(), 3));
        assertThat(back.effects()).anyMatch(Effect.Log.class::isInstance);
    }
}
