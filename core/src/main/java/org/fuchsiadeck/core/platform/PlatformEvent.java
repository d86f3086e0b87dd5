package org.fuchsiadeck.core.platform;

import java.util.List;
import java.util.Optional;

import org.fuchsiadeck.core.Event;
import org.fuchsiadeck.core.model.Backend;
import org.fuchsiadeck.core.model.Checks;
import org.fuchsiadeck.core.model.Peers;

import static java.util.Objects.requireNonNull;

/**
 * The result of a call to the platform, or a message from it.
 */
public sealed interface PlatformEvent extends Event {
    @Override
    default boolean isUrgent() {
        return true;
    }

    /**
     * A key and its value, with the revision of the service at which it was written.
     *
     * @param key the key
     * @param value the value; empty if the key was deleted
     * @param revision the revision of the write
     */
    record Entry(String key, Optional<String> value, long revision) {
        public Entry {
            Checks.notBlank(key, "key");
            requireNonNull(value, "value");
        }
    }

    /**
     * The result of {@link PlatformEffect.Get}.
     *
     * @param tag the tag of the call
     * @param entry the entry; empty if the key does not exist
     * @param serviceRevision the revision of the whole service at the read
     */
    record Found(String tag, Optional<Entry> entry, long serviceRevision) implements PlatformEvent {}

    /**
     * A write took effect.
     *
     * @param tag the tag of the call
     * @param revision the revision of the write
     */
    record Written(String tag, long revision) implements PlatformEvent {}

    /**
     * A write did not take effect, because the key had another revision.
     *
     * @param tag the tag of the call
     * @param current the revision the key has; 0 if it does not exist
     */
    record Conflicted(String tag, long current) implements PlatformEvent {}

    /**
     * The result of {@link PlatformEffect.Watch}.
     *
     * @param tag the tag of the call
     * @param entries the changes, oldest first; empty at the end of the wait
     * @param serviceRevision the revision to watch after next
     * @param gap whether changes may be missing, so that the keys have to be listed again
     */
    record Watched(String tag, List<Entry> entries, long serviceRevision, boolean gap) implements PlatformEvent {
        public Watched {
            entries = List.copyOf(entries);
        }
    }

    /**
     * A call failed. A write may have taken effect nevertheless.
     *
     * @param tag the tag of the call
     * @param detail the error
     * @param sent whether any byte of the call was written
     */
    record CallFailed(String tag, String detail, boolean sent) implements PlatformEvent {}

    /**
     * The current lists of backend servers and entry nodes. They lag behind the instances that actually run.
     *
     * @param backends the backend servers
     * @param nodes the entry nodes
     */
    record Listed(List<Backend> backends, List<Peers.Peer> nodes) implements PlatformEvent {
        public Listed {
            backends = List.copyOf(backends);
            nodes = List.copyOf(nodes);
        }
    }

    /**
     * The platform gave notice that it will reclaim an instance.
     *
     * @param instance the id of the backend server or entry node
     * @param noticeMs the time left, in milliseconds
     */
    record ReclaimNoticed(String instance, long noticeMs) implements PlatformEvent {}

    /**
     * The result of {@link PlatformEffect.ListKeys}.
     *
     * @param tag the tag of the call
     * @param entries the entries in the order of their keys
     * @param serviceRevision the revision of the whole service at the read
     */
    record KeysListed(String tag, List<Entry> entries, long serviceRevision) implements PlatformEvent {
        public KeysListed {
            entries = List.copyOf(entries);
        }
    }

    /**
     * A lease was created. Its time may have begun as early as the call was sent.
     *
     * @param tag the tag of the call
     * @param lease the id of the lease
     */
    record LeaseGranted(String tag, String lease) implements PlatformEvent {
        public LeaseGranted {
            Checks.notBlank(lease, "lease");
        }
    }

    /**
     * The service answered the renewal of a lease.
     *
     * @param tag the tag of the call
     * @param active whether the lease was renewed; otherwise it has ended, and its keys were deleted
     */
    record LeaseRenewed(String tag, boolean active) implements PlatformEvent {}
}
