package org.fuchsiadeck.node.peer;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;

/**
 * Counts what goes over the links, by kind of message.
 */
final class PeerTraffic {
    private final MetricRegistry metrics;

    PeerTraffic(MetricRegistry metrics) {
        this.metrics = metrics;
    }

    void sent(String kind, int bytes) {
        count("out", kind, bytes);
    }

    void received(String kind, int bytes) {
        count("in", kind, bytes);
    }

    private void count(String direction, String kind, int bytes) {
        Meter messages = metrics.meter(MetricRegistry.name("peer", direction, "messages", kind));
        messages.mark();
        Counter total = metrics.counter(MetricRegistry.name("peer", direction, "bytes", kind));
        total.inc(bytes);
    }

    void dropped() {
        metrics.counter("peer.out.dropped").inc();
    }

    void malformed() {
        metrics.counter("peer.in.malformed").inc();
    }

    void misdirected() {
        metrics.counter("peer.in.misdirected").inc();
    }

    void replaced() {
        metrics.counter("peer.out.replaced").inc();
    }
}
