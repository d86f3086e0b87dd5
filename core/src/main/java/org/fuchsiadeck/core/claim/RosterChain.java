package org.fuchsiadeck.core.claim;

import io.vavr.collection.Vector;
import org.fuchsiadeck.core.model.Checks;
import org.fuchsiadeck.core.model.NodeId;

import static java.util.Objects.requireNonNull;

/**
 * The rosters a claim has to be granted by, as the platform's service holds them: the newest, and those before it whose
 * claims have not all been taken over by it.
 *
 * @param revision the revision of the write
 * @param rosters the rosters, the newest last; never empty
 */
public record RosterChain(long revision, Vector<Roster> rosters) {
    public RosterChain {
        requireNonNull(rosters, "rosters");
        Checks.inRange(rosters.size(), 1, Integer.MAX_VALUE, "number of rosters");
    }

    /**
     * Reads rosters from their text form.
     *
     * @param revision the revision of the write
     * @param text the text
     * @return the rosters
     * @throws IllegalArgumentException if the text is not in the form that {@link #text} gives
     */
    public static RosterChain parse(long revision, String text) {
        return RosterText.parse(revision, text);
    }

    /**
     * Returns the text form, as it stands in the platform's service.
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

    /** Returns the roster that was added after one that is not the newest. */
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
