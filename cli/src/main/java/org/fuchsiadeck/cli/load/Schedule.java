package org.fuchsiadeck.cli.load;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;

/**
 * Draws the requests of a run. The same experiment, rate and seed give the same requests.
 */
final class Schedule {
    private static final int MAX_REQUESTS = 500_000;
    private static final double NS_PER_S = 1e9;
    private static final long TEAM_SEED_STEP = 1_000_003;

    private final Experiment experiment;
    private final int weights;
    private final List<Planned> drawn = new ArrayList<>();

    private Schedule(Experiment experiment) {
        this.experiment = experiment;
        this.weights =
                experiment.requests().stream().mapToInt(RequestMix::weight).sum();
    }

    /**
     * Draws the requests of a run.
     *
     * @param experiment the experiment
     * @param ratePerS requests of all teams for each second, as long as no action changes it
     * @param seed seeds the arrivals and the choices
     * @return the requests by time
     * @throws IllegalArgumentException if there would be too many
     */
    static List<Planned> draw(Experiment experiment, double ratePerS, long seed) {
        Schedule schedule = new Schedule(experiment);
        int shares =
                experiment.teams().stream().mapToInt(Experiment.TeamLoad::share).sum();
        long teamSeed = seed;
        for (Experiment.TeamLoad team : experiment.teams()) {
            teamSeed += TEAM_SEED_STEP;
            schedule.team(team.id(), ratePerS * team.share() / shares, new Random(teamSeed));
        }
        return schedule.numbered();
    }

    private void team(String id, double ratePerS, Random random) {
        double from = 0;
        double rate = ratePerS;
        for (Experiment.TimedAction action : experiment.actions()) {
            if (action.team().equals(id)) {
                arrivals(id, from, action.atS(), rate, random);
                from = action.atS();
                rate = ratePerS * action.factor();
            }
        }
        arrivals(id, from, experiment.durationS(), rate, random);
    }

    private void arrivals(String team, double fromS, double toS, double ratePerS, Random random) {
        if (ratePerS <= 0) {
            return;
        }
        double at = fromS + gap(ratePerS, random) * random.nextDouble();
        while (at < toS) {
            RequestMix request = pick(random);
            int group = random.nextInt(request.groups());
            drawn.add(new Planned((long) (at * NS_PER_S), request, team, group, 0));
            if (drawn.size() > MAX_REQUESTS) {
                throw new IllegalArgumentException("more than " + MAX_REQUESTS + " requests");
            }
            at += gap(ratePerS, random);
        }
    }

    private double gap(double ratePerS, Random random) {
        double units = experiment.poisson() ? -Math.log(1 - random.nextDouble()) : 1;
        return units / ratePerS;
    }

    private RequestMix pick(Random random) {
        int left = random.nextInt(weights);
        for (RequestMix request : experiment.requests()) {
            left -= request.weight();
            if (left < 0) {
                return request;
            }
        }
        throw new IllegalStateException("weights do not add up");
    }

    private List<Planned> numbered() {
        drawn.sort(Comparator.comparingLong(Planned::atNs));
        List<Planned> out = new ArrayList<>();
        for (Planned p : drawn) {
            out.add(new Planned(p.atNs(), p.request(), p.team(), p.group(), out.size()));
        }
        return out;
    }
}
