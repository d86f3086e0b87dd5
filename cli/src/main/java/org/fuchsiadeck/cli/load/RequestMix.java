package org.fuchsiadeck.cli.load;

import java.util.Locale;

import org.fuchsiadeck.core.model.Checks;

import static java.util.Objects.requireNonNull;

/**
 * One kind of request in the load.
 *
 * @param name its name in the results
 * @param kind what it is
 * @param weight its part of the requests, in proportion to the others'
 * @param path the path; {@code *} stands for the group
 * @param groups how many groups, such as schools, the requests are spread over
 * @param model the model of a stream; empty otherwise
 * @param prefixWords words that prompts of one group have in common
 * @param ownWords words of each prompt that no other has
 * @param maxTokens tokens of each answer
 */
record RequestMix(
        String name,
        Kind kind,
        int weight,
        String path,
        int groups,
        String model,
        int prefixWords,
        int ownWords,
        int maxTokens) {
    private static final int MAX_WORDS = 100_000;
    private static final int MAX_WEIGHT = 1_000;

    RequestMix {
        Checks.notBlank(name, "request.name");
        requireNonNull(kind, "kind");
        Checks.inRange(weight, 1, MAX_WEIGHT, "request.weight");
        Checks.notBlank(path, "request.path");
        Checks.inRange(groups, 1, MAX_WORDS, "request.groups");
        Checks.inRange(prefixWords, 0, MAX_WORDS, "request.prefix_words");
        Checks.inRange(ownWords, 0, MAX_WORDS, "request.own_words");
        Checks.inRange(maxTokens, 0, MAX_WORDS, "request.max_tokens");
    }

    boolean streamed() {
        return kind == Kind.STREAM;
    }

    /** What a request is. */
    enum Kind {
        /** Makes an entry that must be run at most once. */
        ENTRY,
        /** Reads, and may be repeated. */
        READ,
        /** Asks a model for a streamed answer. */
        STREAM;

        static Kind parse(String word) {
            return valueOf(word.toUpperCase(Locale.ROOT));
        }
    }
}
