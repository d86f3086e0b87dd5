package org.fuchsiadeck.node.http;

import java.io.IOException;

import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.IOEvent;
import org.glassfish.grizzly.ProcessorExecutor;
import org.glassfish.grizzly.filterchain.FilterChain;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.memory.MemoryManager;

/**
 * Passes parts of messages to the filters above one filter, each part in a context of its own, so that a suspended
 * request holds no bytes of the next one.
 */
public final class PartSink {
    private final Connection<?> connection;
    private final FilterChain chain;
    private final int startIndex;
    private final int endIndex;
    private final int filterIndex;
    private boolean reading = true;

    /**
     * Creates a sink.
     *
     * @param ctx a read that has reached the filter
     */
    public PartSink(FilterChainContext ctx) {
        connection = ctx.getConnection();
        chain = ctx.getFilterChain();
        startIndex = ctx.getStartIdx();
        endIndex = ctx.getEndIdx();
        filterIndex = ctx.getFilterIdx() + 1;
    }

    /**
     * Returns the connection.
     *
     * @return the connection
     */
    public Connection<?> connection() {
        return connection;
    }

    /**
     * Returns whether the connection is open.
     *
     * @return whether it is open
     */
    public boolean isOpen() {
        return connection.isOpen();
    }

    /**
     * Passes a part on.
     *
     * @param part the part
     */
    public void pass(MessagePart part) {
        FilterChainContext ctx = chain.obtainFilterChainContext(connection, startIndex, endIndex, filterIndex);
        ctx.getInternalContext().setIoEvent(IOEvent.READ);
        ctx.setMessage(Buffers.wrap(MemoryManager.DEFAULT_MEMORY_MANAGER, part.bytes()));
        ProcessorExecutor.execute(ctx.getInternalContext());
    }

    /**
     * Lets the connection be read, or not. Bytes that are not read stay with the system, which slows the sender down.
     *
     * @param read whether to read
     */
    public void setReading(boolean read) {
        if (read == reading) {
            return;
        }
        reading = read;
        try {
            if (read) {
                connection.enableIOEvent(IOEvent.READ);
            } else {
                connection.disableIOEvent(IOEvent.READ);
            }
        } catch (IOException e) {
            connection.closeWithReason(e);
        }
    }
}
