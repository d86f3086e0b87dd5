package org.fuchsiadeck.core.directory;

import java.util.List;

import org.fuchsiadeck.core.PeerMessage;
import org.fuchsiadeck.core.model.Checks;

/**
 * A message between entry nodes about backend servers that left the list of servers.
 */
public sealed interface DirectoryMessage extends PeerMessage {
    @Override
    default boolean isUrgent() {
        return true;
    }

    /**
     * Asks a peer which servers have departed. The peer answers with {@link Departures}.
     *
     * @param number the number of the query, which the answer repeats; positive
     * @param revision the revision up to which the sender knows all departures
     */
    record Query(long number, long revision) implements DirectoryMessage {
        public Query {
            Checks.inRange(number, 1, Long.MAX_VALUE, "number");
            Checks.inRange(revision, 0, Long.MAX_VALUE, "revision");
        }
    }

    /**
     * Tells a peer of the servers that departed between two revisions of the platform's service.
     *
     * @param number the number of the query; {@link #UNASKED} if the peer did not ask
     * @param sinceRevision the revision after which all departures are included
     * @param revision the revision up to which all departures are included
     * @param ageMs how long ago the sender's knowledge was last known to be the newest, in milliseconds
     * @param departed the departures; they can include some from before {@code sinceRevision}
     */
    record Departures(long number, long sinceRevision, long revision, long ageMs, List<DepartedBackend> departed)
            implements DirectoryMessage {
        /** Value of {@code number} if the receiver did not ask. */
        public static final long UNASKED = 0;

        public Departures {
            Checks.inRange(number, UNASKED, Long.MAX_VALUE, "number");
            Checks.inRange(revision, 0, Long.MAX_VALUE, "revision");
            Checks.inRange(sinceRevision, 0, revision, "sinceRevision");
            Checks.inRange(ageMs, 0, Long.MAX_VALUE, "ageMs");
            departed = List.copyOf(departed);
        }
    }

    /**
     * A backend server whose entry was removed or says that the server leaves.
     *
     * @param key the key of the entry
     * @param revision the revision as of which the server has departed; a newer entry takes precedence
     * @param removed whether the entry was removed
     */
    record DepartedBackend(String key, long revision, boolean removed) {
        public DepartedBackend {
            Checks.notBlank(key, "key");
            Checks.inRange(revision, 1, Long.MAX_VALUE, "revision");
        }
    }
}
