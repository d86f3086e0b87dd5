package org.fuchsiadeck.node.operator;

import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.JsonNode;

import static java.util.Objects.requireNonNull;

/**
 * What operators may see and do.
 *
 * @param unready gives the reasons why the node should get no new work; empty if it is ready
 * @param dump gives the node's state
 * @param metrics the node's figures
 * @param counts gives what the decisions have counted, by name
 * @param drain starts a graceful shutdown
 */
public record Operations(
        Supplier<List<String>> unready,
        Dump dump,
        MetricRegistry metrics,
        Supplier<Map<String, Long>> counts,
        Runnable drain) {
    public Operations {
        requireNonNull(unready, "unready");
        requireNonNull(dump, "dump");
        requireNonNull(metrics, "metrics");
        requireNonNull(counts, "counts");
        requireNonNull(drain, "drain");
    }

    /** Gives the node's state. */
    @FunctionalInterface
    public interface Dump {
        /**
         * Takes a dump.
         *
         * @param whole whether the whole state goes with it
         * @return the dump
         */
        JsonNode take(boolean whole);
    }
}
