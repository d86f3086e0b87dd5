package org.fuchsiadeck.core;

import java.util.Map;
import java.util.OptionalDouble;

import org.fuchsiadeck.core.claim.ClaimState;
import org.fuchsiadeck.core.config.ConfigState;
import org.fuchsiadeck.core.desk.RolloutOrderState;
import org.fuchsiadeck.core.directory.DirectoryState;
import org.fuchsiadeck.core.duty.DutyRules;
import org.fuchsiadeck.core.duty.DutyState;
import org.fuchsiadeck.core.limit.ServiceLoad;
import org.fuchsiadeck.core.membership.MembershipState;
import org.fuchsiadeck.core.model.BackendId;
import org.fuchsiadeck.core.platform.WatchedKeys;
import org.fuchsiadeck.core.quarantine.QuarantineState;
import org.fuchsiadeck.core.request.RequestState;
import org.fuchsiadeck.core.rollout.RolloutState;
import org.fuchsiadeck.core.share.ShareReport;
import org.fuchsiadeck.core.share.ShareRules;
import org.fuchsiadeck.core.share.ShareState;
import org.fuchsiadeck.core.speed.ServerTimes;

import static java.util.Objects.requireNonNull;

/**
 * The complete state of an entry node. Decisions depend only on it, the event and the time.
 *
 * @param self the node's identity
 * @param config the configuration
 * @param members the other entry nodes
 * @param rollouts the rollouts
 * @param claims the claims of idempotency keys
 * @param requests the callers' requests and the backend servers
 * @param directory the backend servers and nodes registered in the platform's key-value service
 * @param use the usage of all nodes together
 * @param duties the duties towards the platform
 * @param desk the operators' rollout orders on the platform
 * @param quarantine the prompt parts under which backend servers crash
 */
public record NodeState(
        Identity self,
        ConfigState config,
        MembershipState members,
        RolloutState rollouts,
        ClaimState claims,
        RequestState requests,
        DirectoryState directory,
        ShareState use,
        DutyState duties,
        RolloutOrderState desk,
        QuarantineState quarantine) {
    public NodeState {
        requireNonNull(self, "self");
        requireNonNull(config, "config");
        requireNonNull(members, "members");
        requireNonNull(rollouts, "rollouts");
        requireNonNull(claims, "claims");
        requireNonNull(requests, "requests");
        requireNonNull(directory, "directory");
        requireNonNull(use, "use");
        requireNonNull(duties, "duties");
        requireNonNull(desk, "desk");
        requireNonNull(quarantine, "quarantine");
    }

    /**
     * Creates the state of a node that does not use the platform's key-value service.
     *
     * @param self the node's identity
     * @param config the configuration
     * @param members the other entry nodes
     * @param rollouts the rollouts
     * @param claims the claims of idempotency keys
     * @param requests the callers' requests and the backend servers
     */
    public NodeState(
            Identity self,
            ConfigState config,
            MembershipState members,
            RolloutState rollouts,
            ClaimState claims,
            RequestState requests) {
        this(
                self,
                config,
                members,
                rollouts,
                claims,
                requests,
                DirectoryState.initial(),
                ShareState.initial(ShareRules.DEFAULT),
                DutyState.initial(DutyRules.DEFAULT),
                RolloutOrderState.initial(),
                QuarantineState.initial());
    }

    /**
     * Returns the state of a node that has just started.
     *
     * @param self the node's identity
     * @return the state
     */
    public static NodeState initial(Identity self) {
        return initial(self, ShareRules.DEFAULT, DutyRules.DEFAULT);
    }

    /**
     * Returns the state of a node that has just started.
     *
     * @param self the node's identity
     * @param sharing the rules for limits that apply to all nodes together
     * @param duties the rules for the duties towards the platform
     * @return the state
     */
    public static NodeState initial(Identity self, ShareRules sharing, DutyRules duties) {
        return new NodeState(
                self,
                ConfigState.initial(),
                MembershipState.initial(),
                RolloutState.initial(),
                ClaimState.initial(),
                RequestState.initial(),
                DirectoryState.initial(),
                ShareState.initial(sharing),
                DutyState.initial(duties),
                RolloutOrderState.initial(),
                QuarantineState.initial());
    }

    /**
     * Returns the parts of the state that all reducers may read.
     *
     * @param nowMs the monotonic time, in milliseconds
     * @param wallMs the wall-clock time, in milliseconds since 1970
     * @return the view
     */
    public View view(long nowMs, long wallMs) {
        return new View(
                self,
                nowMs,
                wallMs,
                config.current(),
                rollouts.shares(),
                members.peers(),
                use,
                new Work(this),
                quarantine);
    }

    private record Work(NodeState state) implements View.Work {
        @Override
        public Map<BackendId, Integer> inFlight() {
            return state.requests.inFlight();
        }

        @Override
        public Map<BackendId, Integer> unreadTokens() {
            return state.requests.unread();
        }

        @Override
        public Map<String, Integer> waitingRequests() {
            return state.requests.waiting();
        }

        @Override
        public OptionalDouble meanRequestMs(String service) {
            return state.requests
                    .loads()
                    .get(service)
                    .map(ServiceLoad::time)
                    .filter(ServiceLoad.RequestTime::reliable)
                    .map(t -> OptionalDouble.of(t.meanMs()))
                    .getOrElse(OptionalDouble.empty());
        }

        @Override
        public Map<BackendId, ServerTimes> serverTimes(long nowMs) {
            return state.requests.speeds().timesAt(nowMs);
        }

        @Override
        public double serverSpeed(BackendId id) {
            return state.requests.speeds().learnedSpeed(id);
        }

        @Override
        public OptionalDouble tokensPerMs(String service) {
            return state.requests.speeds().tokensPerMs(service);
        }

        @Override
        public Map<String, Long> newestRevisions() {
            WatchedKeys servers = state.directory.servers();
            WatchedKeys orders = state.desk.orders();
            long served = state.directory.served() ? 1 : 0;
            return Map.of(
                    servers.prefix(), servers.newest(), orders.prefix(), orders.newest(), ShareReport.SERVED, served);
        }

        @Override
        public long serverListAgeMs(long nowMs) {
            return state.directory.history().isStarted()
                    ? state.directory.history().ageMs(nowMs)
                    : 0;
        }
    }

    NodeState with(ConfigState next) {
        return next == config
                ? this
                : new NodeState(
                        self, next, members, rollouts, claims, requests, directory, use, duties, desk, quarantine);
    }

    NodeState with(MembershipState next) {
        return next == members
                ? this
                : new NodeState(
                        self, config, next, rollouts, claims, requests, directory, use, duties, desk, quarantine);
    }

    NodeState with(RolloutState next) {
        return next == rollouts
                ? this
                : new NodeState(
                        self, config, members, next, claims, requests, directory, use, duties, desk, quarantine);
    }

    NodeState with(ClaimState next) {
        return next == claims
                ? this
                : new NodeState(
                        self, config, members, rollouts, next, requests, directory, use, duties, desk, quarantine);
    }

    NodeState with(RequestState next) {
        return next == requests
                ? this
                : new NodeState(
                        self, config, members, rollouts, claims, next, directory, use, duties, desk, quarantine);
    }

    NodeState with(DirectoryState next) {
        return next == directory
                ? this
                : new NodeState(self, config, members, rollouts, claims, requests, next, use, duties, desk, quarantine);
    }

    NodeState with(ShareState next) {
        return next == use
                ? this
                : new NodeState(
                        self, config, members, rollouts, claims, requests, directory, next, duties, desk, quarantine);
    }

    NodeState with(DutyState next) {
        return next == duties
                ? this
                : new NodeState(
                        self, config, members, rollouts, claims, requests, directory, use, next, desk, quarantine);
    }

    NodeState with(RolloutOrderState next) {
        return next == desk
                ? this
                : new NodeState(
                        self, config, members, rollouts, claims, requests, directory, use, duties, next, quarantine);
    }

    NodeState with(QuarantineState next) {
        return next == quarantine
                ? this
                : new NodeState(self, config, members, rollouts, claims, requests, directory, use, duties, desk, next);
    }
}
