package org.fuchsiadeck.core;

import org.fuchsiadeck.core.duty.DutyRules;
import org.fuchsiadeck.core.share.ShareRules;

import static java.util.Objects.requireNonNull;

/**
 * Changes of a node's settings while it runs.
 */
public sealed interface SettingsEvent extends Event {
    /**
     * The settings were reloaded.
     *
     * @param sharing the rules for limits that apply to all nodes together
     * @param duties the rules for the duties towards the platform
     */
    record Changed(ShareRules sharing, DutyRules duties) implements SettingsEvent {
        public Changed {
            requireNonNull(sharing, "sharing");
            requireNonNull(duties, "duties");
        }
    }
}
