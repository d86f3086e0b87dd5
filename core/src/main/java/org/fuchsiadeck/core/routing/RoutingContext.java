package org.fuchsiadeck.core.routing;

import java.util.List;
import java.util.function.ToDoubleFunction;
import java.util.function.ToIntFunction;

import org.fuchsiadeck.core.model.Backend;
import org.fuchsiadeck.core.model.Zone;

import static java.util.Objects.requireNonNull;

/**
 * What a router knows of a request.
 *
 * @param nowMs the time, in milliseconds
 * @param zone the availability zone of the node
 * @param prefixHashes hashes of the prompt's prefixes, the shortest first; empty if there is no prompt
 * @param sent which prefixes were sent where
 * @param seed random bits for this choice
 * @param previousChoices choices made before
 * @param weight gives how much a server counts against others; 1 is usual
 * @param targetMs the time to the first token that callers expect, in milliseconds; 0 if nothing tells
 * @param prompt the lengths of the prompt and of its prefixes
 * @param inFlightElsewhere gives the attempts that other nodes have in progress at a server, as they last said; negative where
 *     nodes do not tell each other
 * @param unreadElsewhere gives the prompt tokens that a server has still to read for other nodes, as they last said
 * @param nodeCount entry nodes that choose among the same servers, this one included
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
        int nodeCount) {
    public RoutingContext {
        requireNonNull(zone, "zone");
        prefixHashes = List.copyOf(prefixHashes);
        requireNonNull(sent, "sent");
        requireNonNull(weight, "weight");
        requireNonNull(prompt, "prompt");
        requireNonNull(inFlightElsewhere, "elsewhere");
        requireNonNull(unreadElsewhere, "unreadElsewhere");
    }

    /**
     * The lengths of a prompt.
     *
     * @param tokens the whole prompt, in tokens
     * @param prefixTokens its prefixes, the shortest first, in tokens
     */
    public record PromptLengths(int tokens, List<Integer> prefixTokens) {
        /** No prompt. */
        public static final PromptLengths NONE = new PromptLengths(0, List.of());

        public PromptLengths {
            prefixTokens = List.copyOf(prefixTokens);
        }
    }

    /**
     * Describes a request of which only the prefixes are known.
     *
     * @param nowMs the time, in milliseconds
     * @param zone the availability zone of the node
     * @param prefix hashes of the prompt's prefixes, the shortest first; empty if there is no prompt
     * @param sent which prefixes were sent where
     * @param seed random bits for this choice
     * @param sequence choices made before
     * @param weight gives how much a server counts against others; 1 is usual
     */
    public RoutingContext(
            long nowMs,
            Zone zone,
            List<Long> prefix,
            SentPrefixes sent,
            long seed,
            long sequence,
            ToDoubleFunction<Backend> weight) {
        this(nowMs, zone, prefix, sent, seed, sequence, weight, 0, PromptLengths.NONE, b -> -1, b -> 0, 1);
    }

    /**
     * Describes a request for which all servers count alike.
     *
     * @param nowMs the time, in milliseconds
     * @param zone the availability zone of the node
     * @param prefix hashes of the prompt's prefixes, the shortest first; empty if there is no prompt
     * @param sent which prefixes were sent where
     * @param seed random bits for this choice
     * @param sequence choices made before
     */
    public RoutingContext(long nowMs, Zone zone, List<Long> prefix, SentPrefixes sent, long seed, long sequence) {
        this(nowMs, zone, prefix, sent, seed, sequence, b -> 1);
    }
}
