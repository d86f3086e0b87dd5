package org.fuchsiadeck.node;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import java.util.function.Supplier;

import com.codahale.metrics.MetricRegistry;
import org.fuchsiadeck.core.Effect;
import org.fuchsiadeck.core.NodeReducer;
import org.fuchsiadeck.core.NodeState;
import org.fuchsiadeck.core.config.Configuration;
import org.fuchsiadeck.core.routing.Router;
import org.fuchsiadeck.node.backend.BackendProtocol;
import org.fuchsiadeck.node.backend.StandardBackendProtocol;
import org.fuchsiadeck.node.front.CallerProtocol;
import org.fuchsiadeck.node.front.StandardCallerProtocol;
import org.fuchsiadeck.node.run.Closer;
import org.fuchsiadeck.node.run.EffectHandler;
import org.fuchsiadeck.node.run.EventReducer;
import org.fuchsiadeck.node.run.EventSink;
import org.fuchsiadeck.node.settings.Settings;

import static java.util.Objects.requireNonNull;

/**
 * The parts of a node that can be exchanged.
 *
 * @param decisions the reducer
 * @param configuration finds the configuration in force in a state
 * @param unready finds the reasons why a state is not ready
 * @param platform opens the client of the platform's key-value service
 * @param peers opens the links to the other entry nodes
 * @param callers how callers are spoken to
 * @param backends how backend servers are spoken to
 * @param directory whether the decisions read the list of servers by themselves, from the platform's service
 */
public record Parts(
        EventReducer decisions,
        Function<NodeState, Configuration> configuration,
        Function<NodeState, List<String>> unready,
        Opener platform,
        Opener peers,
        CallerProtocol callers,
        BackendProtocol backends,
        boolean directory) {
    public Parts {
        requireNonNull(decisions, "decisions");
        requireNonNull(configuration, "configuration");
        requireNonNull(unready, "unready");
        requireNonNull(platform, "platform");
        requireNonNull(peers, "peers");
        requireNonNull(callers, "callers");
        requireNonNull(backends, "backends");
    }

    /**
     * Makes the parts of a node that speaks the project's own protocols.
     *
     * @param decisions the reducer
     * @param configuration finds the configuration in force in a state
     * @param unready finds the reasons why a state is not ready
     * @param platform opens the client of the platform's key-value service
     * @param peers opens the links to the other entry nodes
     */
    public Parts(
            EventReducer decisions,
            Function<NodeState, Configuration> configuration,
            Function<NodeState, List<String>> unready,
            Opener platform,
            Opener peers) {
        this(
                decisions,
                configuration,
                unready,
                platform,
                peers,
                new StandardCallerProtocol(),
                new StandardBackendProtocol(),
                false);
    }

    /**
     * What a part may use of its node.
     *
     * @param settings the node's settings
     * @param events takes what comes of the effects
     * @param closer closes what the part opens
     * @param metrics takes the part's counts
     * @param state reads the node's state
     */
    public record Surroundings(
            Settings settings, EventSink events, Closer closer, MetricRegistry metrics, Supplier<NodeState> state) {
        public Surroundings {
            requireNonNull(settings, "settings");
            requireNonNull(events, "events");
            requireNonNull(closer, "closer");
            requireNonNull(metrics, "metrics");
            requireNonNull(state, "state");
        }
    }

    /** Opens what runs the effects of a part. */
    @FunctionalInterface
    public interface Opener {
        /**
         * Opens the handler.
         *
         * @param node what the part may use
         * @return the handler
         * @throws Exception if it can't be opened
         */
        EffectHandler<Effect> open(Surroundings node) throws Exception;
    }

    /**
     * Returns the parts of a node in operation.
     *
     * @return the parts
     */
    public static Parts standard() {
        return standard(Router.betterOfTwo());
    }

    /**
     * Returns the parts of a node in operation, but for its router.
     *
     * @param router chooses the backend servers
     * @return the parts
     */
    public static Parts standard(Router router) {
        return new Parts(
                new NodeReducer(router)::reduce,
                s -> s.config().current(),
                Parts::unready,
                PlatformPart::open,
                PeerPart::open);
    }

    /**
     * Returns the parts of a node that reads its servers and the other nodes from the platform's service.
     *
     * @param decisions the reducer
     * @param platform opens the client of the platform's key-value service
     * @param callers how callers are spoken to
     * @param backends how backend servers are spoken to
     * @return the parts
     */
    public static Parts registered(
            EventReducer decisions, Opener platform, CallerProtocol callers, BackendProtocol backends) {
        return new Parts(
                decisions,
                s -> s.config().current(),
                Parts::unreadyRegistered,
                platform,
                PeerPart::open,
                callers,
                backends,
                true);
    }

    private static List<String> unreadyRegistered(NodeState state) {
        List<String> reasons = new ArrayList<>(state.config().unready());
        reasons.addAll(state.rollouts().unready());
        reasons.addAll(state.directory().unready());
        return reasons;
    }

    private static List<String> unready(NodeState state) {
        List<String> reasons = new ArrayList<>(state.config().unready());
        reasons.addAll(state.rollouts().unready());
        if (state.claims().chain().isEmpty()) {
            reasons.add("the owners of idempotency keys are not known");
        }
        return reasons;
    }
}
