package org.fuchsiadeck.core.routing;

import java.util.List;
import java.util.function.ToDoubleFunction;
import java.util.function.ToIntFunction;

import org.fuchsiadeck.core.model.Backend;
import org.fuchsiadeck.core.model.Zone;

import static java.util.Objects.requireNonNull;

/**
 * The request data, the state of this node and the load of other nodes from which a router makes one choice.
 *
 * @param nowMs the time, in milliseconds
 * @param zone the availability zone of this node
 * @param prefixHashes hashes of the prompt's prefixes, shortest first; empty if there is no prompt
 * @param sent the prompt prefixes that this node sent to each server
 * @param seed random bits for this choice
 * @param previousChoices the number of choices that this node made before
 * @param weight returns the relative capacity of a server; 1 is the normal weight
 * @param targetMs the time to first token that callers expect, in milliseconds; 0 if unknown
 * @param prompt the lengths of the prompt and of its prefixes, in tokens
 * @param inFlightElsewhere returns the attempts that other nodes have in progress at a server, by their last reports;
 *     negative if nodes do not exchange reports
 * @param unreadElsewhere returns the prompt tokens that a server has yet to process for other nodes, by their last
 *     reports
 * @param nodeCount the number of entry nodes that choose among the same servers, including this one
 * @param estimates the speed of servers and the cost of reaching them
 */
public record RoutingContext(
        long nowMs,
        Zone zone,
        List<Long> prefixHashes,
        SentPrefixes sent,
        long seed,
        long previousChoices,
        ToDoubleFunction<Backend> weight,
        long targetMs,
        PromptLengths prompt,
        ToIntFunction<Backend> inFlightElsewhere,
        ToIntFunction<Backend> unreadElsewhere,
        int nodeCount,
        ServerEstimates estimates) {
    public RoutingContext {
        requireNonNull(zone, "zone");
        prefixHashes = List.copyOf(prefixHashes);
        requireNonNull(sent, "sent");
        requireNonNull(weight, "weight");
        requireNonNull(prompt, "prompt");
        requireNonNull(inFlightElsewhere, "inFlightElsewhere");
        requireNonNull(unreadElsewhere, "unreadElsewhere");
        requireNonNull(estimates, "estimates");
    }

    /**
     * Returns this context with another count of the other nodes' attempts.
     *
     * @param next returns the attempts that other nodes have in progress at a server
     * @return the context
     */
    public RoutingContext withInFlightElsewhere(ToIntFunction<Backend> next) {
        return new RoutingContext(
                nowMs,
                zone,
                prefixHashes,
                sent,
                seed,
                previousChoices,
                weight,
                targetMs,
                prompt,
                next,
                unreadElsewhere,
                nodeCount,
                estimates);
    }

    /**
     * The length of a prompt and of its prefixes.
     *
     * @param tokens the length of the whole prompt, in tokens
     * @param prefixTokens the lengths of its prefixes, shortest first, in tokens
     */
    public record PromptLengths(int tokens, List<Integer> prefixTokens) {
        /** The lengths for a request without a prompt. */
        public static final PromptLengths NONE = new PromptLengths(0, List.of());

        public PromptLengths {
            prefixTokens = List.copyOf(prefixTokens);
        }
    }

    /**
     * Creates the context of a request whose prompt lengths, and whose load on other nodes, are unknown.
     *
     * @param nowMs the time, in milliseconds
     * @param zone the availability zone of this node
     * @param prefixHashes hashes of the prompt's prefixes, shortest first; empty if there is no prompt
     * @param sent the prompt prefixes that this node sent to each server
     * @param seed random bits for this choice
     * @param previousChoices the number of choices that this node made before
     * @param weight returns the relative capacity of a server; 1 is the normal weight
     */
    public RoutingContext(
            long nowMs,
            Zone zone,
            List<Long> prefixHashes,
            SentPrefixes sent,
            long seed,
            long previousChoices,
            ToDoubleFunction<Backend> weight) {
        this(
                nowMs,
                zone,
                prefixHashes,
                sent,
                seed,
                previousChoices,
                weight,
                0,
                PromptLengths.NONE,
                b -> -1,
                b -> 0,
                1,
                ServerEstimates.standard(zone));
    }

    /**
     * Creates the context of a request for which all servers have the same weight.
     *
     * @param nowMs the time, in milliseconds
     * @param zone the availability zone of this node
     * @param prefixHashes hashes of the prompt's prefixes, shortest first; empty if there is no prompt
     * @param sent the prompt prefixes that this node sent to each server
     * @param seed random bits for this choice
     * @param previousChoices the number of choices that this node made before
     */
    public RoutingContext(
            long nowMs, Zone zone, List<Long> prefixHashes, SentPrefixes sent, long seed, long previousChoices) {
        this(nowMs, zone, prefixHashes, sent, seed, previousChoices, b -> 1);
    }
}
