package org.fuchsiadeck.cli.load;

import java.nio.file.Path;
import java.util.List;
import java.util.Locale;

import org.fuchsiadeck.core.model.Checks;

import static java.util.Objects.requireNonNull;

/**
 * An experiment, as its file describes it.
 *
 * @param name its name
 * @param preset the stand-ins it runs against
 * @param configuration the configuration that the nodes get
 * @param nodes how many entry nodes it has
 * @param durationS how long requests are sent, warm-up included, in seconds
 * @param warmupS how long nothing is measured at first, in seconds
 * @param poisson whether the arrivals are a Poisson process rather than evenly spaced
 * @param rates the rates to measure, in requests for each second
 * @param seeds the seeds to measure with
 * @param routers the routers to compare
 * @param goals what counts as good service
 * @param versions the versions whose answers are right
 * @param teams who sends
 * @param requests what they send
 * @param actions what happens meanwhile
 */
record Experiment(
        String name,
        Preset preset,
        Path configuration,
        int nodes,
        int durationS,
        int warmupS,
        boolean poisson,
        List<Integer> rates,
        List<Integer> seeds,
        List<String> routers,
        Goals goals,
        List<String> versions,
        List<TeamLoad> teams,
        List<RequestMix> requests,
        List<TimedAction> actions) {
    private static final int MAX_NODES = 32;
    private static final int MAX_DURATION_S = 600;
    private static final int MAX_RATE_PER_S = 5_000;

    Experiment {
        Checks.notBlank(name, "name");
        requireNonNull(preset, "preset");
        requireNonNull(configuration, "configuration");
        Checks.inRange(nodes, 1, MAX_NODES, "nodes");
        Checks.inRange(durationS, 1, MAX_DURATION_S, "duration_s");
        Checks.inRange(warmupS, 0, durationS - 1, "warmup_s");
        rates = List.copyOf(rates);
        rates.forEach(r -> Checks.inRange(r, 1, MAX_RATE_PER_S, "rates"));
        seeds = List.copyOf(seeds);
        routers = List.copyOf(routers);
        requireNonNull(goals, "goals");
        versions = List.copyOf(versions);
        teams = List.copyOf(teams);
        requests = List.copyOf(requests);
        actions = List.copyOf(actions);
    }

    /** Returns the experiment with another length, in seconds. */
    Experiment lasting(int seconds) {
        return new Experiment(
                name,
                preset,
                configuration,
                nodes,
                seconds,
                Math.min(warmupS, seconds - 1),
                poisson,
                rates,
                seeds,
                routers,
                goals,
                versions,
                teams,
                requests,
                actions);
    }

    /** The stand-ins of an experiment. */
    enum Preset {
        /** Those of the Howrah Ward Utilities Board. */
        HOWRAH,
        /** Those of the Instituto Distrital de Techos Seguros de Bucaramanga. */
        BUCARAMANGA,
        /** One engine and one application whose work takes no time, to measure what a node adds. */
        RELAY;

        static Preset parse(String word) {
            return valueOf(word.toUpperCase(Locale.ROOT));
        }
    }

    /**
     * What counts as good service.
     *
     * @param firstTokenMs longest time to the first token, in milliseconds
     * @param betweenTokensMs longest mean time between the tokens of an answer, in milliseconds
     * @param plainMs longest time to a plain answer, in milliseconds
     */
    record Goals(long firstTokenMs, long betweenTokensMs, long plainMs) {}

    /**
     * A team's part of the load.
     *
     * @param id the team
     * @param share its part, in proportion to the others'
     */
    record TeamLoad(String id, int share) {
        TeamLoad {
            Checks.notBlank(id, "team.id");
            Checks.inRange(share, 1, 1_000, "team.share");
        }
    }

    /**
     * Something done at a time of the run: a call to a stand-in, or a change of a team's rate.
     *
     * @param atS when, in seconds from the first arrival on
     * @param to the stand-in to call: {@code control}, {@code kv}, {@code cloud} or a backend server; empty for none
     * @param post the path to post to; empty for none
     * @param body the body of the call
     * @param team the team whose rate changes; empty for none
     * @param factor what its rate is multiplied by from then on
     */
    record TimedAction(int atS, String to, String post, String body, String team, int factor) {
        private static final int MAX_FACTOR = 100;

        TimedAction {
            Checks.inRange(atS, 0, MAX_DURATION_S, "action.at_s");
            Checks.inRange(factor, 0, MAX_FACTOR, "action.factor");
            if (post.isEmpty() == team.isEmpty()) {
                throw new IllegalArgumentException("action must have either post or team");
            }
        }
    }
}
