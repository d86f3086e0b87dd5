package org.fuchsiadeck.cli.load;

import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;

import org.fuchsiadeck.core.model.Address;
import org.fuchsiadeck.core.model.Backend;
import org.fuchsiadeck.core.model.BackendId;
import org.fuchsiadeck.core.model.Zone;
import org.fuchsiadeck.core.request.AttemptObserved;
import org.fuchsiadeck.core.request.AttemptObserved.Verdict;

/**
 * Draws attempts at an old and a new version of a service, as one seed decides. The old version fails 1 in 200; first
 * bytes and times per token follow the load, and 3 prompts in 100 miss the prefix cache.
 */
final class VerdictStream {
    static final String OLD = "v1";
    static final String NEW = "v2";

    private static final List<String> ROUTES = List.of("notice", "summary");
    private static final double OLD_FAILURE = 0.005;
    private static final double MISS = 0.03;
    private static final double MISS_FACTOR = 3;
    private static final double FIRST_BYTE_MS = 60;
    private static final double PER_TOKEN_MS = 20;
    private static final int SLOTS = 8;
    private static final int NODES = 8;
    private static final int BURST_SPACING_S = 10;
    private static final double BURST_S = 3;

    private final VerdictCase kind;
    private final SplittableRandom random;
    private final double phase;
    private int answers;

    VerdictStream(VerdictCase kind, long seed) {
        this.kind = kind;
        this.random = new SplittableRandom(seed);
        this.phase = random.nextDouble() * BURST_SPACING_S;
    }

    /** Tells whether the next request goes to the new version. */
    boolean drawNew(double share) {
        return random.nextDouble() < share;
    }

    /** Draws the next attempt at a version. */
    AttemptObserved draw(double second, boolean fresh) {
        double load = load(second, fresh);
        String route = ROUTES.get(random.nextInt(ROUTES.size()));
        VerdictCase.Shown shown = VerdictCase.Shown.NONE;
        if (fresh) {
            shown = kind.shown(second, load, route, random.nextDouble());
            answers++;
        }
        Verdict verdict = random.nextDouble() < OLD_FAILURE ? Verdict.FAILED : shown.verdict();
        if (verdict != Verdict.GOOD) {
            return new AttemptObserved(route, backend(fresh), verdict, -1, -1, inFlight(load));
        }
        boolean cold = fresh && answers <= kind.coldAnswers();
        double miss = cold || random.nextDouble() < MISS ? MISS_FACTOR : 1;
        double firstByte = FIRST_BYTE_MS * (1 + load * load) * miss * noise(0.25) * shown.slower();
        double perToken = PER_TOKEN_MS * (1 + load / 2) * noise(0.15) * shown.slower();
        return new AttemptObserved(
                route, backend(fresh), Verdict.GOOD, Math.round(firstByte), perToken, inFlight(load));
    }

    private double load(double second, boolean fresh) {
        boolean burst = kind.bursts() && (second + phase) % BURST_SPACING_S < BURST_S;
        double base = kind.shiftsAtS() > 0 && second >= kind.shiftsAtS() ? 1 : 0.5;
        return (burst ? base * 1.6 : base) * (fresh ? kind.hotter() : 1);
    }

    /** Draws how many requests are in progress at a server; the nodes see only their own. */
    private int inFlight(double load) {
        int count = 0;
        for (int i = 0; i < SLOTS; i++) {
            count += random.nextDouble() < load / NODES ? 1 : 0;
        }
        return count;
    }

    private double noise(double deviation) {
        double sum = 0;
        for (int i = 0; i < 12; i++) {
            sum += random.nextDouble();
        }
        return Math.exp(deviation * (sum - 6));
    }

    private static Backend backend(boolean fresh) {
        String version = fresh ? NEW : OLD;
        return new Backend(
                new BackendId("engine-" + version),
                new Address("127.0.0.1", 9),
                new Zone("salt-lake"),
                Backend.Kind.ENGINE,
                "assistant",
                version,
                Set.of("m"),
                Set.of(),
                Set.of(),
                SLOTS,
                1,
                true,
                false);
    }
}
