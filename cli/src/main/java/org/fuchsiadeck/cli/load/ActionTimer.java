package org.fuchsiadeck.cli.load;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Does the actions of an experiment at their times.
 */
final class ActionTimer implements AutoCloseable {
    private final List<Experiment.TimedAction> actions;
    private final StandIns standIns;
    private final List<String> done = new CopyOnWriteArrayList<>();
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();

    ActionTimer(List<Experiment.TimedAction> actions, StandIns standIns) {
        this.actions = actions;
        this.standIns = standIns;
    }

    /** Begins to count the time. */
    void start() {
        actions.forEach(a -> timer.schedule(() -> run(a), a.atS(), TimeUnit.SECONDS));
    }

    /** Returns what was done, and with what answer. */
    List<String> done() {
        return List.copyOf(done);
    }

    @Override
    public void close() {
        timer.shutdownNow();
    }

    private void run(Experiment.TimedAction action) {
        String at = action.atS() + " s: ";
        if (!action.team().isEmpty()) {
            done.add(at + action.team() + " sends at " + action.factor() + " times its rate");
            return;
        }
        String answer;
        try {
            answer = standIns.post(action.to(), action.post(), action.body());
        } catch (RuntimeException e) {
            answer = e.toString();
        }
        done.add(at + action.to() + " " + action.post() + " " + action.body() + ": " + answer);
    }
}
