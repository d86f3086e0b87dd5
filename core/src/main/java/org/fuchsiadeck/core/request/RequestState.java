package org.fuchsiadeck.core.request;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.collection.TreeMap;
import org.fuchsiadeck.core.model.Backend;
import org.fuchsiadeck.core.model.BackendId;
import org.fuchsiadeck.core.model.RequestId;

/**
 * The callers' requests in progress and the backend servers known.
 *
 * @param backends the backend servers, by id
 * @param streams for each request in progress, whether its answer is streamed
 */
public record RequestState(Map<BackendId, Backend> backends, Map<RequestId, Boolean> streams) {
    /**
     * Returns the state of a node that has just started.
     *
     * @return the state
     */
    public static RequestState initial() {
        return new RequestState(TreeMap.empty(), HashMap.empty());
    }
}
