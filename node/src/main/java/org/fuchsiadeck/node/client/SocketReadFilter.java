package org.fuchsiadeck.node.client;

import java.io.EOFException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;

import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.filterchain.TransportFilter;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.memory.MemoryManager;
import org.glassfish.grizzly.nio.NIOConnection;

/**
 * Reads from the socket and distinguishes a reset from a close by the server, which the transport's default filter does
 * not. A response body that is delimited by the end of the connection is complete only if the server closed it.
 */
final class SocketReadFilter extends TransportFilter {
    private static final int BUFFER_BYTES = 16 << 10;

    @Override
    public NextAction handleRead(FilterChainContext ctx) throws IOException {
        Connection<?> connection = ctx.getConnection();
        SocketChannel channel = (SocketChannel) ((NIOConnection) connection).getChannel();
        ByteBuffer bytes = ByteBuffer.allocate(BUFFER_BYTES);
        int count;
        try {
            count = channel.read(bytes);
        } catch (IOException e) {
            connection.closeWithReason(e);
            return ctx.getStopAction();
        }
        if (count < 0) {
            connection.closeWithReason(new EOFException());
            return ctx.getStopAction();
        }
        if (count == 0) {
            return ctx.getStopAction();
        }
        bytes.flip();
        ctx.setMessage(Buffers.wrap(MemoryManager.DEFAULT_MEMORY_MANAGER, bytes));
        return ctx.getInvokeAction();
    }
}
