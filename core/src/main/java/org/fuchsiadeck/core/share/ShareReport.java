package org.fuchsiadeck.core.share;

import java.util.Map;

import org.fuchsiadeck.core.PeerMessage;
import org.fuchsiadeck.core.model.BackendId;
import org.fuchsiadeck.core.model.TeamId;
import org.fuchsiadeck.core.speed.ServerTimes;

/**
 * The current usage of an entry node, as it reports it to its peers. A report holds totals, not changes since the last
 * one, so that a lost report does no harm.
 *
 * @param wallMs the sender's time of day, in milliseconds since 1970
 * @param startedWallMs the sender's time of day when its process started, which identifies the run of the process
 * @param ageMs how long the sender's process has run, in milliseconds
 * @param spent the units spent in the quota window, by team
 * @param lately the units spent in the last half second, by team; these are part of {@code spent}
 * @param refused the units of requests refused because of a quota in the last half second, by team
 * @param services the requests and retries in the retry window, by service
 * @param begun the requests that backend servers have started to process, by usage window and team
 * @param inFlight the attempts in progress, by backend server
 * @param unread the prompt tokens of attempts that the server has yet to process before the first output token, by
 *     backend server
 * @param hasServers whether {@code inFlight} and {@code unread} are included; otherwise those of the report before hold
 * @param newest the newest revisions seen in the platform's key-value service, by key prefix; also {@link #SERVED}
 * @param serverTimes the observed and expected times of attempts of some backend servers; each report has another part
 *     of them
 */
public record ShareReport(
        long wallMs,
        long startedWallMs,
        long ageMs,
        Map<TeamId, Long> spent,
        Map<TeamId, Long> lately,
        Map<TeamId, Long> refused,
        Map<String, ServiceUse> services,
        Map<Long, Map<TeamId, Long>> begun,
        Map<BackendId, Integer> inFlight,
        Map<BackendId, Integer> unread,
        boolean hasServers,
        Map<String, Long> newest,
        Map<BackendId, ServerTimes> serverTimes)
        implements PeerMessage {
    /** The entry of {@code newest} that is 1 if the key-value service has answered the node without interruption. */
    public static final String SERVED = "served";

    public ShareReport {
        spent = Map.copyOf(spent);
        lately = Map.copyOf(lately);
        refused = Map.copyOf(refused);
        services = Map.copyOf(services);
        begun = Map.copyOf(begun);
        inFlight = Map.copyOf(inFlight);
        unread = Map.copyOf(unread);
        newest = Map.copyOf(newest);
        serverTimes = Map.copyOf(serverTimes);
    }

    /** Returns this report without the figures of backend servers, which make up most of it in a large fleet. */
    ShareReport withoutServers() {
        return withServers(Map.of(), Map.of(), false);
    }

    /** Returns this report with the figures of backend servers of an earlier one. */
    ShareReport withServersOf(ShareReport earlier) {
        return withServers(earlier.inFlight, earlier.unread, true);
    }

    private ShareReport withServers(
            Map<BackendId, Integer> attempts, Map<BackendId, Integer> tokens, boolean included) {
        return new ShareReport(
                wallMs,
                startedWallMs,
                ageMs,
                spent,
                lately,
                refused,
                services,
                begun,
                attempts,
                tokens,
                included,
                newest,
                included ? serverTimes : Map.of());
    }

    /**
     * The usage of a service.
     *
     * @param requests the number of requests
     * @param repeats the number of retries: attempts after the first one of a request
     * @param waiting the number of requests queued now; 0 if the service's capacity is not shared by all nodes
     */
    public record ServiceUse(long requests, long repeats, long waiting) {}
}
