package org.fuchsiadeck.core.platform;

import org.fuchsiadeck.core.model.Checks;

/**
 * Positions in the history of the platform's key-value service: an era and a revision in one number, ordered by era first. A
 * service that comes back from an older copy begins a new era, in which it gives out revisions again. A service that names no
 * era has era 0, and its positions are its revisions.
 */
public final class Position {
    private static final int REVISION_BITS = 40;
    private static final long MAX_REVISION = (1L << REVISION_BITS) - 1;
    private static final long MAX_ERA = Long.MAX_VALUE >> REVISION_BITS;

    private Position() {}

    /**
     * Returns a position.
     *
     * @param era the era of the service
     * @param revision the revision that the service gave out in this era; 0 stands for no position in any era
     * @return the position
     */
    public static long of(long era, long revision) {
        Checks.inRange(era, 0, MAX_ERA, "era");
        Checks.inRange(revision, 0, MAX_REVISION, "revision");
        return revision == 0 ? 0 : era << REVISION_BITS | revision;
    }

    /**
     * Returns the era of a position.
     *
     * @param position the position
     * @return the era
     */
    public static long era(long position) {
        return position >> REVISION_BITS;
    }

    /**
     * Returns the revision of a position.
     *
     * @param position the position
     * @return the revision
     */
    public static long revision(long position) {
        return position & MAX_REVISION;
    }
}
