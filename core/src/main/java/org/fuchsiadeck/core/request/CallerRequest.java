package org.fuchsiadeck.core.request;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.fuchsiadeck.core.model.Checks;
import org.fuchsiadeck.core.model.TeamId;

import static java.util.Objects.requireNonNull;

/**
 * The properties of a caller's request that scheduling decisions depend on. The body is kept by the data path.
 *
 * @param method the HTTP method
 * @param path the path, without a query
 * @param team the caller's team
 * @param idempotencyKey the caller's idempotency key; requests with the same key are treated as one request
 * @param bodyBytes length of the body, in bytes
 * @param stream whether the caller requests the answer as a stream
 * @param completion parameters of a model completion; empty for a request to an application
 * @param origin the host, time limit and resume position that the caller sent
 */
public record CallerRequest(
        String method,
        String path,
        TeamId team,
        Optional<String> idempotencyKey,
        long bodyBytes,
        boolean stream,
        Optional<Completion> completion,
        Origin origin) {
    public CallerRequest {
        Checks.notBlank(method, "method");
        Checks.notBlank(path, "path");
        requireNonNull(team, "team");
        requireNonNull(idempotencyKey, "idempotencyKey");
        Checks.inRange(bodyBytes, 0, Long.MAX_VALUE, "bodyBytes");
        requireNonNull(completion, "completion");
        requireNonNull(origin, "origin");
    }

    /**
     * Creates a request without a host, a time limit or a resume position.
     *
     * @param method the HTTP method
     * @param path the path, without a query
     * @param team the caller's team
     * @param idempotencyKey the caller's key
     * @param bodyBytes length of the body, in bytes
     * @param stream whether the caller requests the answer as a stream
     * @param completion parameters of a model completion
     */
    public CallerRequest(
            String method,
            String path,
            TeamId team,
            Optional<String> idempotencyKey,
            long bodyBytes,
            boolean stream,
            Optional<Completion> completion) {
        this(method, path, team, idempotencyKey, bodyBytes, stream, completion, Origin.NONE);
    }

    /**
     * The host, time limit and resume position that a caller sent.
     *
     * @param host requested host; empty for none
     * @param waitMs time that the caller waits for its answer, in milliseconds; 0 if not given
     * @param received number of the last event that the caller received of an interrupted answer; 0 for none
     */
    public record Origin(String host, long waitMs, int received) {
        /** No host, no time limit, no resume position. */
        public static final Origin NONE = new Origin("", 0, 0);

        public Origin {
            requireNonNull(host, "host");
            Checks.inRange(waitMs, 0, Long.MAX_VALUE, "waitMs");
            Checks.inRange(received, 0, Integer.MAX_VALUE, "received");
        }
    }

    /**
     * The parameters of a model completion.
     *
     * @param model the model
     * @param adapter the adapter, if one is requested
     * @param prefix hashes of the prompt's prefixes, shortest first, one for each block of tokens
     * @param prefixTokens lengths of those prefixes, in tokens, in the same order; empty if each prefix is one block
     *     longer than the one before
     * @param parts ids of the parts of the prompt that other prompts may contain too, whatever precedes them there
     * @param promptTokens length of the prompt, in tokens
     * @param maxTokens greatest number of tokens to generate
     */
    public record Completion(
            String model,
            Optional<String> adapter,
            List<Long> prefix,
            List<Integer> prefixTokens,
            List<String> parts,
            int promptTokens,
            int maxTokens) {
        public Completion {
            Checks.notBlank(model, "model");
            requireNonNull(adapter, "adapter");
            prefix = List.copyOf(prefix);
            prefixTokens = List.copyOf(prefixTokens);
            parts = List.copyOf(parts);
            if (!prefixTokens.isEmpty() && prefixTokens.size() != prefix.size()) {
                throw new IllegalArgumentException("expected as many prefix lengths as prefixes, got "
                        + prefixTokens.size() + " and " + prefix.size());
            }
            Checks.inRange(promptTokens, 0, Integer.MAX_VALUE, "promptTokens");
            Checks.inRange(maxTokens, 1, Integer.MAX_VALUE, "maxTokens");
        }

        /**
         * Creates a completion whose prefixes are each one block of tokens longer than the one before. Its prefixes of
         * 1, 2, 4, 8 ... blocks are its parts, since nothing else is known that other prompts may contain.
         *
         * @param model the model
         * @param adapter the adapter, if one is requested
         * @param prefix hashes of the prompt's prefixes
         * @param promptTokens length of the prompt, in tokens
         * @param maxTokens greatest number of tokens to generate
         */
        public Completion(String model, Optional<String> adapter, List<Long> prefix, int promptTokens, int maxTokens) {
            this(model, adapter, prefix, List.of(), prefixParts(prefix), promptTokens, maxTokens);
        }

        private static List<String> prefixParts(List<Long> prefix) {
            List<String> parts = new ArrayList<>();
            for (int blocks = 1; blocks <= prefix.size(); blocks *= 2) {
                parts.add(Long.toHexString(prefix.get(blocks - 1)));
            }
            return parts;
        }
    }
}
