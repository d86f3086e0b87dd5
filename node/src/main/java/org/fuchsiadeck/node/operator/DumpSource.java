package org.fuchsiadeck.node.operator;

import java.util.List;
import java.util.Map;

import com.codahale.metrics.MetricRegistry;
import org.fuchsiadeck.core.NodeState;
import org.fuchsiadeck.core.config.Configuration;
import org.fuchsiadeck.node.settings.Settings;

import static java.util.Objects.requireNonNull;

/**
 * What a dump is made of, as it was at one time.
 *
 * @param nowMs the monotonic time, in milliseconds
 * @param wallMs the wall-clock time, in milliseconds since 1970
 * @param state the node's state
 * @param config the configuration in force
 * @param settings the node's settings
 * @param metrics the node's figures
 * @param draining whether a graceful shutdown is under way
 * @param unready why the node should get no new work; empty if it is ready
 * @param idleConnections kept connections by the backend server's address
 * @param requestsOpen requests without a final answer
 */
public record DumpSource(
        long nowMs,
        long wallMs,
        NodeState state,
        Configuration config,
        Settings settings,
        MetricRegistry metrics,
        boolean draining,
        List<String> unready,
        Map<String, Integer> idleConnections,
        int requestsOpen) {
    public DumpSource {
        requireNonNull(state, "state");
        requireNonNull(config, "config");
        requireNonNull(settings, "settings");
        requireNonNull(metrics, "metrics");
        unready = List.copyOf(unready);
        idleConnections = Map.copyOf(idleConnections);
    }
}
