package org.fuchsiadeck.core.routing;

import java.util.function.Function;

import io.vavr.collection.Array;
import io.vavr.control.Option;
import org.fuchsiadeck.core.model.BackendId;

import static java.util.Objects.requireNonNull;

/**
 * The backend servers among which a router chooses.
 *
 * @param ids the servers that meet the requirements of the request
 * @param usable returns the status of a server if it may take the request now, otherwise nothing
 */
public record Candidates(Array<BackendId> ids, Function<BackendId, Option<BackendStatus>> usable) {
    public Candidates {
        requireNonNull(ids, "ids");
        requireNonNull(usable, "usable");
    }

    /**
     * Finds the next server that may take the request now.
     *
     * @param from the index to start from; the search wraps around once
     * @return the server's index; -1 if no server may take the request
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
