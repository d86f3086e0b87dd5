package org.fuchsiadeck.testbed.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

import org.glassfish.grizzly.ReadHandler;
import org.glassfish.grizzly.http.io.NIOInputStream;

/**
 * Reads a body whole without blocking, then hands its text on.
 */
final class BodyReader implements ReadHandler {
    private final NIOInputStream in;

    private final Consumer<String> next;

    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();

    private BodyReader(NIOInputStream in, Consumer<String> next) {
        this.in = in;
        this.next = next;
    }

    static void read(NIOInputStream in, Consumer<String> next) {
        in.notifyAvailable(new BodyReader(in, next));
    }

    @Override
    public void onDataAvailable() throws IOException {
        takeAvailable();
        in.notifyAvailable(this);
    }

    @Override
    public void onAllDataRead() throws IOException {
        takeAvailable();
        next.accept(bytes.toString(StandardCharsets.UTF_8));
    }

    @Override
    public void onError(Throwable t) {
        // the connection has closed: there is nobody left to answer
    }

    private void takeAvailable() throws IOException {
        byte[] part = new byte[in.available()];
        int n = in.read(part);
        if (n > 0) {
            bytes.write(part, 0, n);
        }
    }
}
