package org.fuchsiadeck.core.claim;

import io.vavr.collection.Vector;
import org.fuchsiadeck.core.model.Checks;
import org.fuchsiadeck.core.model.NodeId;

import static java.util.Objects.requireNonNull;

/**
 * The current rosters, as stored in the platform's service: the newest, and the earlier ones that are still needed
 * because their claims may not all have been taken over. A claim must be granted in each of them.
 *
 * @param revision the revision of the rosters' key
 * @param rosters the rosters, from earliest to newest; never empty
 */
public record RosterChain(long revision, Vector<Roster> rosters) {
    public RosterChain {
        requireNonNull(rosters, "rosters");
        Checks.inRange(rosters.size(), 1, Integer.MAX_VALUE, "number of rosters");
    }

    /**
     * Parses the text form of rosters.
     *
     * @param revision the revision of the rosters' key
     * @param text the text
     * @return the rosters
     * @throws IllegalArgumentException if the text is not in the form that {@link #text} returns
     */
    public static RosterChain parse(long revision, String text) {
        return RosterText.parse(revision, text);
    }

    /**
     * Returns the text form, as stored in the platform's service.
     *
     * @return the text, without the revision
     */
    public String text() {
        return RosterText.format(rosters);
    }

    Roster newest() {
        return rosters.last();
    }

    Vector<Roster> earlier() {
        return rosters.init();
    }

    /** Returns the roster that was added directly after an earlier roster. */
    Roster successor(Roster roster) {
        return rosters.get(rosters.indexOf(roster) + 1);
    }

    boolean includes(NodeId id) {
        return rosters.exists(r -> r.members().containsKey(id));
    }

    Vector<NodeId> owners(String key) {
        return rosters.flatMap(r -> r.owners(key)).distinct();
    }

    Vector<NodeId> members() {
        return rosters.flatMap(r -> r.members().keySet()).distinct();
    }
}
