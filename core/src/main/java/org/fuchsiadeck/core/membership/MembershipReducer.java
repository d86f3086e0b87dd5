package org.fuchsiadeck.core.membership;

import org.fuchsiadeck.core.Event;
import org.fuchsiadeck.core.Reducer;
import org.fuchsiadeck.core.Step;
import org.fuchsiadeck.core.View;

/**
 * Reduces the events of this package.
 */
public final class MembershipReducer implements Reducer<MembershipState> {
    @Override
    public Step<MembershipState> reduce(MembershipState state, View view, Event event) {
        return Step.of(state);
    }
}
