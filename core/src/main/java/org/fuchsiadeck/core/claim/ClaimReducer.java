package org.fuchsiadeck.core.claim;

import org.fuchsiadeck.core.Event;
import org.fuchsiadeck.core.Reducer;
import org.fuchsiadeck.core.Step;
import org.fuchsiadeck.core.View;

/**
 * Reduces the events of this package.
 */
public final class ClaimReducer implements Reducer<ClaimState> {
    @Override
    public Step<ClaimState> reduce(ClaimState state, View view, Event event) {
        return Step.of(state);
    }
}
