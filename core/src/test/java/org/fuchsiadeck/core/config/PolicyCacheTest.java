package org.fuchsiadeck.core.config;

import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

import io.vavr.control.Option;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class PolicyCacheTest {
    private static final Configuration CONFIG = new Configuration(
            1,
            Policy.DEFAULT,
            List.of(rule("zone", "sur", 10, 100), rule("zone", "sur", 20, 200), rule("route", "draft", 30, 300)),
            List.of(),
            List.of());

    @Property(seed = "20260412", tries = 500)
    void givesWhatTheConfigurationGivesThoughTheClockJumps(
            @ForAll @IntRange(max = 350) int first,
            @ForAll @IntRange(max = 350) int second,
            @ForAll boolean inSur,
            @ForAll boolean drafts) {
        Subject subject = new Subject(inSur ? "sur" : "norte", "s", "v", "b", drafts ? "draft" : "ask", "t");
        PolicyCache table = PolicyCache.EMPTY;
        for (long wallMs : new long[] {first, second, first}) {
            table = table.validFor(CONFIG, wallMs).withPolicyFor(subject);
            assertThat(table.find(subject)).contains(CONFIG.policyFor(subject, wallMs));
        }
    }

    @Test
    void appliesAnExceptionThatMatchesEverything() {
        ExceptionRule all = new ExceptionRule("for all", Map.of(), Map.of("weight", 7L), OptionalLong.empty());
        Configuration config = new Configuration(1, Policy.DEFAULT, List.of(all), List.of(), List.of());
        Option<Policy> found = PolicyCache.EMPTY.validFor(config, 0).find(Subject.NONE);
        assertThat(found.get().weight()).isEqualTo(7);
    }

    @Test
    void keepsOnePolicyForSubjectsThatNoExceptionTellsApart() {
        PolicyCache table = PolicyCache.EMPTY.validFor(CONFIG, 0);
        for (int i = 0; i < 1_000; i++) {
            table = table.withPolicyFor(new Subject("norte", "s", "v", "b" + i, "ask", "t" + i));
        }
        assertThat(table.resolved()).hasSize(1);
        assertThat(table.validFor(CONFIG, 99)).isSameAs(table);
        assertThat(table.validFor(CONFIG, 100)).isNotSameAs(table);
    }

    private static ExceptionRule rule(String key, String value, long weight, long expiresMs) {
        return new ExceptionRule(
                "for the test", Map.of(key, value), Map.of("weight", weight), OptionalLong.of(expiresMs));
    }
}
