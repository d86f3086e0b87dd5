package org.fuchsiadeck.scenarios;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.fuchsiadeck.scenarios.Caller.Answer;

import static org.assertj.core.api.Assertions.assertThat;

/** What callers were told of their entries, to be compared with how often the applications ran them. */
final class Entries {
    private final Map<String, List<Answer>> answers = new LinkedHashMap<>();

    synchronized Answer add(String entry, Answer answer) {
        answers.computeIfAbsent(entry, e -> new ArrayList<>()).add(answer);
        return answer;
    }

    synchronized List<Answer> of(String entry) {
        return List.copyOf(answers.getOrDefault(entry, List.of()));
    }

    synchronized List<String> names() {
        return List.copyOf(answers.keySet());
    }

    /** Checks that every answer is true, given how often each entry was run. */
    synchronized void check(Map<String, Integer> runs) {
        answers.forEach((entry, told) -> check(entry, told, runs.getOrDefault(entry, 0)));
    }

    private static void check(String entry, List<Answer> told, int runs) {
        String what = entry + " ran " + runs + " times; callers were told " + told;
        assertThat(runs).as(what).isLessThanOrEqualTo(1);
        if (told.stream().allMatch(Answer::notRun)) {
            assertThat(runs).as(what).isZero();
        }
        if (told.stream().anyMatch(a -> a.good() || a.alreadyAnswered())) {
            assertThat(runs).as(what).isEqualTo(1);
        }
        assertThat(told.stream().filter(Answer::good).count()).as(what).isLessThanOrEqualTo(1);
        told.stream()
                .filter(Answer::good)
                .forEach(a -> assertThat(a.body()).as(what).contains("\"" + entry + "\""));
    }

    /** Counts the entries some answer to which is of a kind, and which ran so often. */
    synchronized long count(String outcome, int ran, Map<String, Integer> runs) {
        return answers.entrySet().stream()
                .filter(e -> runs.getOrDefault(e.getKey(), 0) == ran)
                .filter(e -> e.getValue().stream().anyMatch(a -> a.outcome().equals(outcome)))
                .count();
    }
}
