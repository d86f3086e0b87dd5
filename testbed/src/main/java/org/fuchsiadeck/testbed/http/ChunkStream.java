package org.fuchsiadeck.testbed.http;

import java.io.IOException;

import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.WriteHandler;
import org.glassfish.grizzly.http.io.NIOOutputStream;
import org.glassfish.grizzly.http.server.Response;

/**
 * An answer sent in chunks without blocking. One thread writes at a time.
 */
public final class ChunkStream {
    private final Connection<?> connection;

    private final NIOOutputStream out;

    private final Runnable onEnd;

    private volatile boolean closed;

    ChunkStream(Response response, Connection<?> connection, boolean closed, Runnable onEnd) {
        this.connection = connection;
        this.closed = closed;
        this.onEnd = onEnd;
        this.out = response.getNIOOutputStream();
    }

    /**
     * Tells whether a chunk can be taken now.
     *
     * @return false while the reader lags behind
     */
    public boolean canWrite() {
        return closed || out.canWrite();
    }

    /**
     * Runs an action once chunks can be taken again or the connection has closed.
     *
     * @param action what to run
     */
    public void whenWritable(Runnable action) {
        out.notifyCanWrite(new WriteHandler() {
            @Override
            public void onWritePossible() {
                action.run();
            }

            @Override
            public void onError(Throwable t) {
                closed = true;
                action.run();
            }
        });
    }

    /**
     * Sends one chunk; does nothing once the stream is closed.
     *
     * @param bytes the chunk
     */
    public void write(byte[] bytes) {
        if (closed) {
            return;
        }
        try {
            out.write(bytes);
            out.flush();
        } catch (IOException | IllegalStateException e) {
            drop();
        }
    }

    /**
     * Ends the answer.
     */
    public void end() {
        if (!closed) {
            closed = true;
            onEnd.run();
        }
    }

    /**
     * Closes the connection after what was written.
     */
    public void drop() {
        closed = true;
        connection.closeSilently();
    }

    /**
     * Tells whether the connection has closed or the answer ended.
     *
     * @return true once nothing more can be sent
     */
    public boolean isClosed() {
        return closed || !connection.isOpen();
    }
}
