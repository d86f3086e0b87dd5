package org.fuchsiadeck.node.listing;

import java.io.IOException;
import java.util.HashSet;
import java.util.Set;

import com.codahale.metrics.MetricRegistry;
import org.fuchsiadeck.core.model.Address;
import org.fuchsiadeck.core.platform.PlatformEvent;
import org.fuchsiadeck.node.client.CallFailure;
import org.fuchsiadeck.node.client.HttpClient;
import org.fuchsiadeck.node.client.SimpleHttpCall;
import org.fuchsiadeck.node.run.EventSink;
import org.jboss.logging.Logger;

/**
 * Reads the platform's list of instances again and again and posts what it says. The list lags behind and may fail; the
 * last reading stays in force meanwhile.
 */
public final class InstanceList implements BackendDirectory {
    private static final Logger LOG = Logger.getLogger(InstanceList.class);
    private static final String URI = "/v1/instances";
    private static final int MAX_BYTES = 8 << 20;
    private static final long TIMEOUT_MS = 2_000;

    private final HttpClient client;
    private final Address address;
    private final EventSink events;
    private final MetricRegistry metrics;
    private final Set<String> noticed = new HashSet<>();
    private SimpleHttpCall call;
    private volatile boolean known;
    private boolean failing;

    /**
     * Creates a reader; {@link #poll} reads.
     *
     * @param client makes the connections
     * @param address where the platform serves the list
     * @param events takes the readings
     * @param metrics where it reports its figures
     */
    public InstanceList(HttpClient client, Address address, EventSink events, MetricRegistry metrics) {
        this.client = client;
        this.address = address;
        this.events = events;
        this.metrics = metrics;
    }

    /** Reads the list unless a reading is in progress; one that takes too long is given up. */
    @Override
    public synchronized void poll() {
        if (call != null && call.ageMs() < TIMEOUT_MS) {
            return;
        }
        if (call != null) {
            call.cancel("no answer within " + TIMEOUT_MS + " ms");
        }
        call = SimpleHttpCall.get(
                client, address, URI, MAX_BYTES, r -> r.peek(this::read).peekLeft(this::failed));
    }

    @Override
    public boolean isKnown() {
        return known;
    }

    private synchronized void read(byte[] body) {
        call = null;
        try {
            post(Listing.read(body));
        } catch (IOException e) {
            failed(new CallFailure(address, CallFailure.CallPhase.READING, e.getMessage()));
        }
    }

    private void post(Listing listing) {
        if (failing) {
            LOG.infof("the list of instances at %s answers again", address);
        }
        failing = false;
        if (listing.unreadable() > 0) {
            LOG.warnf("%d entries of the list of instances could not be read", listing.unreadable());
        }
        events.post(listing.listed());
        Set<String> inForce = new HashSet<>();
        for (PlatformEvent.ReclaimNoticed notice : listing.notices()) {
            inForce.add(notice.instance());
            if (noticed.add(notice.instance())) {
                events.post(notice);
            }
        }
        noticed.retainAll(inForce);
        known = true;
    }

    private synchronized void failed(CallFailure failure) {
        call = null;
        metrics.counter("listing.failures").inc();
        if (!failing) {
            LOG.warnf("the list of instances could not be read: %s", failure);
        }
        failing = true;
    }
}
