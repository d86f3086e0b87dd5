package org.fuchsiadeck.core.routing;

import io.vavr.collection.Array;
import io.vavr.collection.HashSet;
import io.vavr.collection.Map;
import io.vavr.collection.Set;
import io.vavr.collection.TreeMap;
import org.fuchsiadeck.core.model.Backend;
import org.fuchsiadeck.core.model.BackendId;

/**
 * The backend servers that meet a need and that this node may use, by id.
 *
 * @param all the ids of all servers, in ascending order
 * @param versions the same ids by version
 * @param members the same ids as a set, for membership tests
 */
record Pool(Array<BackendId> all, Map<String, Array<BackendId>> versions, Set<BackendId> members) {
    static Pool of(Iterable<Backend> backends) {
        Array<Backend> sorted = Array.ofAll(backends).sortBy(Backend::id);
        Map<String, Array<BackendId>> versions = TreeMap.empty();
        for (var entry : sorted.groupBy(Backend::version)) {
            versions = versions.put(entry._1, entry._2.map(Backend::id));
        }
        Array<BackendId> ids = sorted.map(Backend::id);
        return new Pool(ids, versions, HashSet.ofAll(ids));
    }

    Array<BackendId> ofVersion(String version) {
        return versions.getOrElse(version, Array.empty());
    }
}
