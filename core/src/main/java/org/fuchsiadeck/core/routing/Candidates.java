package org.fuchsiadeck.core.routing;

import java.util.function.Function;

import io.vavr.collection.Array;
import io.vavr.control.Option;
import org.fuchsiadeck.core.model.BackendId;

import static java.util.Objects.requireNonNull;

/**
 * The backend servers a router may choose from.
 *
 * @param ids servers that can serve the request
 * @param usable gives a server if it may take the request now
 */
public record Candidates(Array<BackendId> ids, Function<BackendId, Option<BackendStatus>> usable) {
    public Candidates {
        requireNonNull(ids, "ids");
        requireNonNull(usable, "usable");
    }

    /**
     * Returns the first server that may take the request.
     *
     * @param from the index to begin with; the search goes round once
     * @return the server's index; -1 if none may
     */
    int nextUsable(int from) {
        for (int i = 0; i < ids.size(); i++) {
            int index = (from + i) % ids.size();
            if (usable.apply(ids.get(index)).isDefined()) {
                return index;
            }
        }
        return -1;
    }

    BackendStatus get(int index) {
        return usable.apply(ids.get(index)).get();
    }
}
