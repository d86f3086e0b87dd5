package org.fuchsiadeck.node.front;

import com.codahale.metrics.MetricRegistry;
import org.fuchsiadeck.core.Effect;
import org.fuchsiadeck.core.model.Address;
import org.fuchsiadeck.core.model.NodeId;
import org.fuchsiadeck.node.exchange.ByteBudget;
import org.fuchsiadeck.node.exchange.Exchanges;
import org.fuchsiadeck.node.run.EffectHandler;
import org.fuchsiadeck.node.run.EventSink;
import org.fuchsiadeck.node.run.SelectorDelays;
import org.fuchsiadeck.node.settings.Limits;

import static java.util.Objects.requireNonNull;

/**
 * What the server for callers is made of.
 *
 * @param node the node's id
 * @param address where it listens
 * @param protocol how requests are read and answers are written
 * @param limits what it takes from callers
 * @param budget counts the bytes held for callers
 * @param exchanges takes the requests in progress
 * @param events takes what callers do
 * @param configuration gives the configuration in force
 * @param log writes numbered events
 * @param metrics where it reports its figures
 * @param delays measures the selector threads
 */
public record Front(
        NodeId node,
        Address address,
        CallerProtocol protocol,
        Limits limits,
        ByteBudget budget,
        Exchanges exchanges,
        EventSink events,
        ConfigurationSource configuration,
        EffectHandler<Effect.Log> log,
        MetricRegistry metrics,
        SelectorDelays delays) {
    public Front {
        requireNonNull(node, "node");
        requireNonNull(address, "address");
        requireNonNull(protocol, "protocol");
        requireNonNull(limits, "limits");
        requireNonNull(budget, "budget");
        requireNonNull(exchanges, "exchanges");
        requireNonNull(events, "events");
        requireNonNull(configuration, "configuration");
        requireNonNull(log, "log");
        requireNonNull(metrics, "metrics");
        requireNonNull(delays, "delays");
    }
}
