package org.fuchsiadeck.core.config;

import org.fuchsiadeck.core.Event;
import org.fuchsiadeck.core.Reducer;
import org.fuchsiadeck.core.Step;
import org.fuchsiadeck.core.View;

/**
 * Reduces the events of this package.
 */
public final class ConfigReducer implements Reducer<ConfigState> {
    @Override
    public Step<ConfigState> reduce(ConfigState state, View view, Event event) {
        return Step.of(state);
    }
}
