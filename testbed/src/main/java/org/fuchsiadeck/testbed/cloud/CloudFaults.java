package org.fuchsiadeck.testbed.cloud;

/**
 * Faults of the cloud API.
 *
 * @param outage whether the list answers 503
 * @param lagMs how far the list of instances lags behind, in milliseconds
 * @param noticeLagMs how late a notice shows in the list, in milliseconds
 * @param loseNotices whether notices given from now on never show in the list
 */
public record CloudFaults(boolean outage, long lagMs, long noticeLagMs, boolean loseNotices) {
    /**
     * Gives the state without faults.
     *
     * @return no faults and no lag
     */
    public static CloudFaults none() {
        return new CloudFaults(false, 0, 0, false);
    }

    /**
     * Gives a lagging list.
     *
     * @param lagMs how far the list of instances lags behind, in milliseconds
     * @return the lag and no other fault
     */
    public static CloudFaults lag(long lagMs) {
        return new CloudFaults(false, lagMs, 0, false);
    }
}
