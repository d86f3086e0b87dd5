package org.fuchsiadeck.testbed.http;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.Executor;

import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.IOEvent;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;

/**
 * Keeps reading from a connection whose request waits for its answer, so that a closed connection is noticed. Bytes of
 * the next request that come meanwhile are held until the answer has ended, since the filters above take them for more
 * of the request in progress.
 */
final class ReadGate extends BaseFilter {
    private static final Attribute<State> STATE =
            Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("testbed-read-gate", State::new);

    @Override
    public NextAction handleRead(FilterChainContext ctx) {
        return state(ctx.getConnection()).hold(ctx) ? ctx.getSuspendAction() : ctx.getInvokeAction();
    }

    /** Starts a request that may wait. */
    static void begin(Connection<?> connection) {
        state(connection).begin();
    }

    /** Reads on while the request waits; without effect if it has been answered. */
    static void watch(Connection<?> connection) throws IOException {
        if (state(connection).watch()) {
            connection.enableIOEvent(IOEvent.READ);
        }
    }

    /** Ends the request and lets go of what was held. */
    static void end(Connection<?> connection) {
        List<FilterChainContext> held = state(connection).end();
        if (held.isEmpty()) {
            return;
        }
        Executor workers = connection.getTransport().getWorkerThreadPool();
        held.forEach(ctx -> workers.execute(ctx::resume));
    }

    private static State state(Connection<?> connection) {
        return STATE.get(connection);
    }

    private static final class State {
        private final Deque<FilterChainContext> held = new ArrayDeque<>();

        private boolean inProgress;

        private boolean watching;

        synchronized boolean hold(FilterChainContext ctx) {
            if (!watching) {
                return false;
            }
            ctx.suspend();
            held.add(ctx);
            return true;
        }

        synchronized void begin() {
            inProgress = true;
        }

        synchronized boolean watch() {
            watching = inProgress;
            return watching;
        }

        synchronized List<FilterChainContext> end() {
            inProgress = false;
            watching = false;
            List<FilterChainContext> all = new ArrayList<>(held);
            held.clear();
            return all;
        }
    }
}
