package org.fuchsiadeck.testbed.kv;

/**
 * Counts of calls since the service was made.
 *
 * @param reads reads and lists
 * @param writes writes, deletions, and starts and ends of leases
 * @param watches watches
 * @param renewals renewals of leases
 * @param limited calls of all kinds that were over the rate
 */
public record KvStats(long reads, long writes, long watches, long renewals, long limited) {
    /**
     * Gives the sum of all calls.
     *
     * @return reads, writes, watches and renewals
     */
    public long total() {
        return reads + writes + watches + renewals;
    }
}
