package org.fuchsiadeck.node.run;

import java.util.ArrayDeque;
import java.util.Deque;

import org.jboss.logging.Logger;

/**
 * Gathers resources and closes them in the reverse order. A failure to close one does not keep the others open.
 */
public final class Closer implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(Closer.class);

    private final Deque<AutoCloseable> resources = new ArrayDeque<>();

    /**
     * Adds a resource.
     *
     * @param <C> the type of the resource
     * @param resource the resource
     * @return the resource
     */
    public synchronized <C extends AutoCloseable> C add(C resource) {
        resources.push(resource);
        return resource;
    }

    /** Closes all resources, the last one first. Closing again does nothing. */
    @Override
    public synchronized void close() {
        while (!resources.isEmpty()) {
            closeOne(resources.pop());
        }
    }

    private static void closeOne(AutoCloseable resource) {
        try {
            resource.close();
        } catch (Exception e) {
            LOG.warnf(e, "a resource did not close: %s", resource.getClass().getName());
        }
    }
}
