package org.fuchsiadeck.core.config;

import java.lang.reflect.RecordComponent;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.stream.Stream;

import org.fuchsiadeck.core.model.TeamId;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

/**
 * Guards against policies resolved from the wrong values: fields of {@link Policy} and {@link PolicyField} out of step,
 * exceptions applied in the wrong order or after they expired, and names or values that are not allowed.
 */
class ConfigurationTest {
    private static final OptionalLong NEVER = OptionalLong.empty();

    private static Configuration configurationWith(ExceptionRule... rules) {
        return new Configuration(1, Policy.DEFAULT, List.of(rules), List.of(), List.of());
    }

    private static ExceptionRule rule(String reason, Map<String, String> match, long weight, OptionalLong expires) {
        return new ExceptionRule(reason, match, Map.of("weight", weight), expires);
    }

    @Test
    void policyFieldsMatchPolicyComponentsInOrder() {
        List<String> components = Stream.of(Policy.class.getRecordComponents())
                .map(RecordComponent::getName)
                .map(n -> n.replaceAll("([A-Z])", "_$1").toLowerCase())
                .toList();
        assertThat(PolicyField.values()).extracting(PolicyField::key).containsExactlyElementsOf(components);
    }

    @Test
    void replacesOnlyTheNamedValue() {
        for (PolicyField field : PolicyField.values()) {
            Policy policy = Policy.DEFAULT.withValues(Map.of(field.key(), field.max()));
            for (PolicyField other : PolicyField.values()) {
                long expected = other == field ? field.max() : other.get(Policy.DEFAULT);
                assertThat(other.get(policy)).isEqualTo(expected);
            }
        }
    }

    @Test
    void rejectsUnknownNamesAndValuesOutOfBounds() {
        assertThatIllegalArgumentException()
                .isThrownBy(() -> Policy.DEFAULT.withValues(Map.of("wait", 1L)))
                .withMessageContaining("wait");
        assertThatIllegalArgumentException()
                .isThrownBy(() -> rule("r", Map.of("zone", "sur"), 0, NEVER))
                .withMessage("weight must be from 1 to 10000, was 0");
        assertThatIllegalArgumentException()
                .isThrownBy(() -> rule("r", Map.of("rack", "sur"), 1, NEVER))
                .withMessageContaining("rack");
    }

    @Test
    void lastMatchingExceptionWins() {
        Configuration configuration = configurationWith(
                rule("a", Map.of("zone", "sur"), 1, NEVER),
                rule("b", Map.of("team", "crews", "zone", "sur"), 2, NEVER),
                rule("c", Map.of("zone", "norte"), 3, NEVER));
        Subject sur = new Subject("sur", "", "", "", "", "");
        assertThat(configuration.policyFor(Subject.NONE, 0).weight()).isEqualTo(100);
        assertThat(configuration.policyFor(sur, 0).weight()).isEqualTo(1);
        assertThat(configuration.policyFor(sur.withTeam(new TeamId("crews")), 0).weight())
                .isEqualTo(2);
    }

    @Test
    void explainsWhichExceptionSetsAValue() {
        Configuration configuration = configurationWith(
                rule("a", Map.of("zone", "sur"), 1, NEVER),
                rule("b", Map.of("zone", "sur"), 2, OptionalLong.of(10)),
                rule("c", Map.of("zone", "sur"), 3, OptionalLong.of(11)));
        Subject sur = new Subject("sur", "", "", "", "", "");
        List<Explanation> explanations = configuration.explain(sur, 10);
        assertThat(explanations).hasSize(PolicyField.values().length);
        assertThat(explanations.get(PolicyField.WEIGHT.ordinal()))
                .isEqualTo(new Explanation(PolicyField.WEIGHT, 3, OptionalInt.of(3), "c", List.of(1), List.of(2)));
        assertThat(explanations.get(0).exceptionNumber()).isEmpty();
    }
}
