package org.fuchsiadeck.node.settings;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

import org.fuchsiadeck.core.Identity;
import org.fuchsiadeck.core.duty.DutyRules;
import org.fuchsiadeck.core.model.Address;
import org.fuchsiadeck.core.model.Checks;
import org.fuchsiadeck.core.share.ShareRules;
import org.fuchsiadeck.node.log.LogLevel;

import static java.util.Objects.requireNonNull;

/**
 * The settings of a node.
 *
 * @param identity who the node is and where its peers reach it
 * @param callers where it listens for callers
 * @param operators where it listens for operators
 * @param ready where it also tells whether it is ready, and nothing else; empty for the operators' address alone
 * @param operatorToken what operators prove themselves with
 * @param peerBind where it listens for its peers; other than where they reach it if something stands in between
 * @param peerSeeds addresses of other nodes, to find the rest
 * @param platform where the platform's key-value service is
 * @param cloud where the platform serves the list of instances
 * @param cloudPollMs time between readings of the list, in milliseconds
 * @param drainNoticeMs longest time for a graceful shutdown that names no notice, in milliseconds
 * @param drainIntakeMs for how long a node that is to stop, and says so, takes requests of callers that have not noticed
 *     yet, in milliseconds
 * @param logLevel the least level of the node's own log lines
 * @param configuration a file with a configuration that does not change, for tests; empty to use the platform's
 * @param limits what the node takes from callers and backend servers
 * @param router how it chooses backend servers
 * @param sharing the limits that hold over all nodes together
 * @param duties how the duties towards the platform are carried out
 */
public record Settings(
        Identity identity,
        Address callers,
        Address operators,
        Optional<Address> ready,
        String operatorToken,
        Address peerBind,
        List<Address> peerSeeds,
        Address platform,
        Address cloud,
        long cloudPollMs,
        long drainNoticeMs,
        long drainIntakeMs,
        LogLevel logLevel,
        Optional<Path> configuration,
        Limits limits,
        RouterChoice router,
        ShareRules sharing,
        DutyRules duties) {
    private static final long MIN_POLL_MS = 10;
    private static final long MAX_MS = 3_600_000;

    public Settings {
        requireNonNull(identity, "identity");
        requireNonNull(callers, "callers");
        requireNonNull(operators, "operators");
        requireNonNull(ready, "ready");
        Checks.notBlank(operatorToken, "operators.token");
        requireNonNull(peerBind, "peerBind");
        peerSeeds = List.copyOf(peerSeeds);
        requireNonNull(platform, "platform");
        requireNonNull(cloud, "cloud");
        Checks.inRange(cloudPollMs, MIN_POLL_MS, MAX_MS, "cloud.poll_ms");
        Checks.inRange(drainNoticeMs, 0, MAX_MS, "drain_notice_ms");
        Checks.inRange(drainIntakeMs, 0, MAX_MS, "drain_intake_ms");
        requireNonNull(logLevel, "logLevel");
        requireNonNull(configuration, "configuration");
        requireNonNull(limits, "limits");
        requireNonNull(router, "router");
        requireNonNull(sharing, "sharing");
        requireNonNull(duties, "duties");
    }

    /**
     * Returns these settings with those of others that can change while a node runs.
     *
     * @param other the other settings
     * @return the settings
     */
    public Settings withLimitsOf(Settings other) {
        return new Settings(
                identity,
                callers,
                operators,
                ready,
                operatorToken,
                peerBind,
                peerSeeds,
                platform,
                cloud,
                cloudPollMs,
                drainNoticeMs,
                drainIntakeMs,
                logLevel,
                configuration,
                limits,
                router,
                other.sharing,
                other.duties);
    }
}
