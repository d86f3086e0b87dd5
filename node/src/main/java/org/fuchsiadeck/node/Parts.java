package org.fuchsiadeck.node;

import java.util.List;
import java.util.function.Function;
import java.util.function.Supplier;

import com.codahale.metrics.MetricRegistry;
import org.fuchsiadeck.core.Effect;
import org.fuchsiadeck.core.NodeReducer;
import org.fuchsiadeck.core.NodeState;
import org.fuchsiadeck.core.config.Configuration;
import org.fuchsiadeck.core.platform.PlatformEffect;
import org.fuchsiadeck.node.run.Closer;
import org.fuchsiadeck.node.run.Decisions;
import org.fuchsiadeck.node.run.EffectHandler;
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
 */
public record Parts(
        Decisions decisions,
        Function<NodeState, Configuration> configuration,
        Function<NodeState, List<String>> unready,
        Opener<PlatformEffect> platform,
        Opener<Effect.Send> peers) {
    public Parts {
        requireNonNull(decisions, "decisions");
        requireNonNull(configuration, "configuration");
        requireNonNull(unready, "unready");
        requireNonNull(platform, "platform");
        requireNonNull(peers, "peers");
    }

    /**
     * Opens what runs the effects of one type.
     *
     * @param <E> the type of the effects
     */
    @FunctionalInterface
    public interface Opener<E extends Effect> {
        /**
         * Opens the handler.
         *
         * @param context what the handler may use
         * @return the handler
         * @throws Exception if it can't be opened
         */
        EffectHandler<E> open(Context context) throws Exception;
    }

    /**
     * What a part may use of its node.
     *
     * @param settings the node's settings
     * @param events takes what comes of the effects
     * @param state gives the state after the last event
     * @param metrics takes the part's figures
     * @param closer closes what the part opens
     */
    public record Context(
            Settings settings, EventSink events, Supplier<NodeState> state, MetricRegistry metrics, Closer closer) {
        public Context {
            requireNonNull(settings, "settings");
            requireNonNull(events, "events");
            requireNonNull(state, "state");
            requireNonNull(metrics, "metrics");
            requireNonNull(closer, "closer");
        }
    }

    /**
     * Returns the parts of a node in operation.
     *
     * @return the parts
     */
    public static Parts standard() {
        return new Parts(
                new NodeReducer()::reduce,
                s -> s.config().current(),
                s -> s.config().unready(),
                context -> effect -> {},
                context -> effect -> {});
    }
}
