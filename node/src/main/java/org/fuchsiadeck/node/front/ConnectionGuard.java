package org.fuchsiadeck.node.front;

import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.channels.SocketChannel;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import org.fuchsiadeck.node.exchange.ByteBudget;
import org.fuchsiadeck.node.run.SelectorDelays;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.nio.NIOConnection;

/**
 * Watches the callers' connections beneath HTTP: limits their number, and notices those that close or stall.
 */
final class ConnectionGuard extends BaseFilter {
    /** Bytes that the system may hold for a caller; with more, a caller that takes bytes slowly would seem to stall. */
    static final int SEND_BUFFER_BYTES = 32 << 10;

    private static final long IDLE_MS = 60_000;

    /** A caller who takes nothing for this long is given up while the node holds too many bytes. */
    private static final long TIGHT_STUCK_MS = 2_000;

    private final Set<Connection<?>> open = ConcurrentHashMap.newKeySet();
    private final int maxConnections;
    private final long slowMs;
    private final ByteBudget budget;
    private final SelectorDelays delays;
    private volatile boolean draining;

    ConnectionGuard(int maxConnections, long slowMs, ByteBudget budget, SelectorDelays delays) {
        this.maxConnections = maxConnections;
        this.slowMs = slowMs;
        this.budget = budget;
        this.delays = delays;
    }

    @Override
    public NextAction handleAccept(FilterChainContext ctx) throws IOException {
        Connection<?> connection = ctx.getConnection();
        if (open.size() >= maxConnections) {
            connection.terminateSilently();
            return ctx.getStopAction();
        }
        open.add(connection);
        SocketChannel channel = (SocketChannel) ((NIOConnection) connection).getChannel();
        channel.setOption(StandardSocketOptions.SO_SNDBUF, SEND_BUFFER_BYTES);
        CallerConnection.of(connection);
        delays.watch(connection);
        return ctx.getInvokeAction();
    }

    @Override
    public NextAction handleRead(FilterChainContext ctx) {
        Buffer received = ctx.getMessage();
        CallerConnection.of(ctx.getConnection()).received(received.remaining());
        return ctx.getInvokeAction();
    }

    @Override
    public NextAction handleClose(FilterChainContext ctx) {
        open.remove(ctx.getConnection());
        CallerConnection.of(ctx.getConnection()).closed();
        return ctx.getInvokeAction();
    }

    int connections() {
        return open.size();
    }

    int unfinished() {
        return (int)
                open.stream().filter(c -> CallerConnection.of(c).isUnfinished()).count();
    }

    void drain() {
        draining = true;
    }

    boolean isDraining() {
        return draining;
    }

    void sweep() {
        open.forEach(c -> CallerConnection.of(c).sweep(slowMs, IDLE_MS));
        if (budget.isTight()) {
            open.forEach(c -> CallerConnection.of(c).sweepTight(Math.min(slowMs, TIGHT_STUCK_MS)));
        }
    }
}
