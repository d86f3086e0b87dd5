package org.fuchsiadeck.core.rollout;

import org.fuchsiadeck.core.Event;
import org.fuchsiadeck.core.Reducer;
import org.fuchsiadeck.core.Step;
import org.fuchsiadeck.core.View;

/**
 * Reduces the events of this package.
 */
public final class RolloutReducer implements Reducer<RolloutState> {
    @Override
    public Step<RolloutState> reduce(RolloutState state, View view, Event event) {
        return Step.of(state);
    }
}
