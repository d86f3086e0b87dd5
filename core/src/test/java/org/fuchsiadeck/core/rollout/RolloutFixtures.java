package org.fuchsiadeck.core.rollout;

import java.util.List;
import java.util.Set;

import org.fuchsiadeck.core.model.Address;
import org.fuchsiadeck.core.model.Backend;
import org.fuchsiadeck.core.model.BackendId;
import org.fuchsiadeck.core.model.Zone;
import org.fuchsiadeck.core.request.AttemptObserved;

/** Rollouts, backend servers and attempts for the tests of this package. */
final class RolloutFixtures {
    static final long START_MS = 1_000_000;
    static final long DUE_MS = START_MS + 20_000;

    private RolloutFixtures() {}

    static Rollout rollout(long number, RolloutStage stage) {
        return new Rollout(
                "assistant",
                number,
                "v1",
                "v2",
                5,
                START_MS,
                DUE_MS,
                Rollout.InsufficientEvidencePolicy.TAKE_BACK,
                stage,
                List.of(new Rollout.Move(START_MS, stage, "started = by an operator\nwith 100% care")));
    }

    static Rollout rollout(long number, String oldVersion, String newVersion) {
        return new Rollout(
                "assistant",
                number,
                oldVersion,
                newVersion,
                5,
                START_MS,
                DUE_MS,
                Rollout.InsufficientEvidencePolicy.TAKE_BACK,
                RolloutStage.EARLY,
                List.of());
    }

    static Backend backend(String version) {
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
                8,
                1,
                true,
                false);
    }

    static AttemptObserved attempt(String version, String route, AttemptObserved.Verdict verdict, long firstByteMs) {
        return new AttemptObserved(route, backend(version), verdict, firstByteMs, -1, 2);
    }
}
