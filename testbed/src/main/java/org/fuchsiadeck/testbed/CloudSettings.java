package org.fuchsiadeck.testbed;

import org.fuchsiadeck.testbed.cloud.CloudFaults;

/**
 * Settings of the cloud API.
 *
 * @param port the port that callers use, 0 for any
 * @param proxied whether a proxy stands in front
 * @param faults the lag and faults at first; none if absent
 */
public record CloudSettings(int port, boolean proxied, CloudFaults faults) {
    public CloudSettings {
        faults = faults == null ? CloudFaults.none() : faults;
    }
}
