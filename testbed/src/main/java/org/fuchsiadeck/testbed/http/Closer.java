package org.fuchsiadeck.testbed.http;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Gathers resources and closes them in the reverse order.
 */
public final class Closer implements AutoCloseable {
    private final Deque<AutoCloseable> resources = new ArrayDeque<>();

    /**
     * Adds a resource.
     *
     * @param <T> its type
     * @param resource what to close
     * @return the resource
     */
    public synchronized <T extends AutoCloseable> T add(T resource) {
        resources.push(resource);
        return resource;
    }

    /**
     * Closes every resource, also when some fail to close.
     *
     * @throws IllegalStateException with the failures as suppressed exceptions, if any failed
     */
    @Override
    public synchronized void close() {
        IllegalStateException failure = new IllegalStateException("resources failed to close");
        while (!resources.isEmpty()) {
            try {
                resources.pop().close();
            } catch (Exception e) {
                failure.addSuppressed(e);
            }
        }
        if (failure.getSuppressed().length > 0) {
            throw failure;
        }
    }
}
