package org.fuchsiadeck.node.run;

import java.util.ArrayDeque;
import java.util.Deque;

import org.jboss.logging.Logger;

/**
 * Collects resources and closes them in reverse order. If one fails to close, the others are still closed.
 */
public final class Closer implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(Closer.class);

    private final Deque<AutoCloseable> resources = new ArrayDeque<>();

    /**
     * Adds a resource to be closed.
     *
     * @param <C> the type of the resource
     * @param resource the resource
     * @return the given resource
     */
    public synchronized <C extends AutoCloseable> C add(C resource) {
        resources.push(resource);
        return resource;
    }

    /** Closes all resources, most recently added first. Further calls have no effect. */
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
            LOG.warnf(
                    e,
                    "could not close resource of type %s",
                    resource.getClass().getName());
        }
    }
}
