package org.fuchsiadeck.core.platform;

import java.util.OptionalLong;

import org.fuchsiadeck.core.Effect;
import org.fuchsiadeck.core.model.Checks;

import static java.util.Objects.requireNonNull;

/**
 * A call to the platform's key-value service. Each call has a tag, which its result, a {@link PlatformEvent}, repeats.
 */
public sealed interface PlatformEffect extends Effect {
    /**
     * Returns the tag that the result repeats.
     *
     * @return the tag; its part before the first slash names the component that made the call
     */
    String tag();

    /**
     * Reads a key. Answers {@link PlatformEvent.Found}.
     *
     * @param tag the tag of the call
     * @param key the key
     */
    record Get(String tag, String key) implements PlatformEffect {
        public Get {
            Checks.notBlank(tag, "tag");
            Checks.notBlank(key, "key");
        }
    }

    /**
     * Writes a key if its revision is the expected one. Answers {@link PlatformEvent.Written} or
     * {@link PlatformEvent.Conflicted}.
     *
     * @param tag the tag of the call
     * @param key the key
     * @param value the value, as text
     * @param expectedRevision the revision the key must have; 0 if it must not exist; empty for any
     */
    record Put(String tag, String key, String value, OptionalLong expectedRevision) implements PlatformEffect {
        public Put {
            Checks.notBlank(tag, "tag");
            Checks.notBlank(key, "key");
            requireNonNull(value, "value");
            requireNonNull(expectedRevision, "expectedRevision");
        }
    }

    /**
     * Waits for changes of keys with a prefix. Answers {@link PlatformEvent.Watched} once, with the changes or at the end of
     * the wait.
     *
     * @param tag the tag of the call
     * @param prefix the prefix of the keys
     * @param afterRevision only changes after this revision of the service
     * @param waitMs the longest wait, in milliseconds
     */
    record Watch(String tag, String prefix, long afterRevision, long waitMs) implements PlatformEffect {
        public Watch {
            Checks.notBlank(tag, "tag");
            Checks.notBlank(prefix, "prefix");
        }
    }

    /**
     * Writes a key that is deleted when a lease ends, if its revision is the expected one. Answers as {@link Put} does.
     *
     * @param tag the tag of the call
     * @param key the key
     * @param value the value, as text
     * @param expectedRevision the revision the key must have; 0 if it must not exist; empty for any
     * @param lease the id of the lease
     */
    record LeasedPut(String tag, String key, String value, OptionalLong expectedRevision, String lease)
            implements PlatformEffect {
        public LeasedPut {
            Checks.notBlank(tag, "tag");
            Checks.notBlank(key, "key");
            requireNonNull(value, "value");
            requireNonNull(expectedRevision, "expectedRevision");
            Checks.notBlank(lease, "lease");
        }
    }

    /**
     * Deletes a key if its revision is the expected one. Answers as {@link Put} does; for a key that does
     * not exist, the answer is a conflict at revision 0.
     *
     * @param tag the tag of the call
     * @param key the key
     * @param expectedRevision the revision the key must have; empty for any
     */
    record Delete(String tag, String key, OptionalLong expectedRevision) implements PlatformEffect {
        public Delete {
            Checks.notBlank(tag, "tag");
            Checks.notBlank(key, "key");
            requireNonNull(expectedRevision, "expectedRevision");
        }
    }

    /**
     * Reads all keys with a prefix. Answers {@link PlatformEvent.KeysListed}.
     *
     * @param tag the tag of the call
     * @param prefix the prefix of the keys
     * @param current whether the answer has to be up to date; one that may be seconds old is cheaper, and a watch from its
     *     revision reports the changes that it lacks
     */
    record ListKeys(String tag, String prefix, boolean current) implements PlatformEffect {
        public ListKeys {
            Checks.notBlank(tag, "tag");
            Checks.notBlank(prefix, "prefix");
        }
    }

    /**
     * Creates a lease. Answers {@link PlatformEvent.LeaseGranted}.
     *
     * @param tag the tag of the call
     * @param ttlMs how long the lease lasts without renewal, in milliseconds
     */
    record GrantLease(String tag, long ttlMs) implements PlatformEffect {
        public GrantLease {
            Checks.notBlank(tag, "tag");
            Checks.inRange(ttlMs, 1, Long.MAX_VALUE, "ttlMs");
        }
    }

    /**
     * Renews a lease. Answers {@link PlatformEvent.LeaseRenewed}.
     *
     * @param tag the tag of the call
     * @param lease the id of the lease
     */
    record RenewLease(String tag, String lease) implements PlatformEffect {
        public RenewLease {
            Checks.notBlank(tag, "tag");
            Checks.notBlank(lease, "lease");
        }
    }
}
