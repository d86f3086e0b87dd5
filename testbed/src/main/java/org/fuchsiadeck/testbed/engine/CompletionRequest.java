package org.fuchsiadeck.testbed.engine;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * The body of a completion.
 *
 * @param model the model
 * @param adapter the adapter, null for none
 * @param prompt the prompt
 * @param maxTokens how many tokens the whole answer has
 * @param stream whether the answer is a stream of events
 * @param resume what was generated before, null for nothing
 * @param from where the KV cache is fetched from, null to compute it
 */
record CompletionRequest(
        String model,
        String adapter,
        String prompt,
        int maxTokens,
        boolean stream,
        Resume resume,
        @JsonProperty("import") Import from) {
    private static final int MAX_TOKENS = 64;

    CompletionRequest {
        if (prompt == null) {
            throw new IllegalArgumentException("prompt must not be absent");
        }
        maxTokens = maxTokens == 0 ? MAX_TOKENS : maxTokens;
        if (maxTokens < 0) {
            throw new IllegalArgumentException("max_tokens must not be negative, was " + maxTokens);
        }
    }

    int firstPosition() {
        return resume == null ? 0 : resume.tokens;
    }

    String resumedText() {
        return resume == null ? "" : resume.text;
    }

    TokenHashes hashes() {
        TokenHashes hashes = TokenHashes.of(prompt);
        if (resume == null) {
            return hashes;
        }
        int before = hashes.count();
        hashes.addText(resume.text);
        int came = hashes.count() - before;
        if (came != resume.tokens) {
            throw new IllegalArgumentException("resume.text holds " + came + " tokens, not " + resume.tokens);
        }
        return hashes;
    }

    /**
     * What was generated before.
     *
     * @param text its text
     * @param tokens how many tokens it holds
     */
    record Resume(String text, int tokens) {
        Resume {
            text = text == null ? "" : text;
        }
    }

    /**
     * Where a KV cache is fetched from.
     *
     * @param from the other engine's {@code host:port}
     * @param handle the handle that the other engine gave
     */
    record Import(String from, String handle) {}
}
