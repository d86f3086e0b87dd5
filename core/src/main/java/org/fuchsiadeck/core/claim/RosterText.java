package org.fuchsiadeck.core.claim;

import io.vavr.collection.TreeMap;
import io.vavr.collection.Vector;
import org.fuchsiadeck.core.model.Address;
import org.fuchsiadeck.core.model.NodeId;
import org.fuchsiadeck.core.model.Peers.Peer;
import org.fuchsiadeck.core.model.Zone;

/**
 * Converts rosters to and from their text form in the platform's service: a line {@code roster <base revision>} for
 * each roster, followed by a line {@code <id> <address> <zone>} for each member. Fields are separated by tabs.
 */
final class RosterText {
    private static final String HEAD = "roster";
    private static final int FIELDS = 3;

    private RosterText() {}

    static String format(Vector<Roster> rosters) {
        StringBuilder out = new StringBuilder();
        for (Roster roster : rosters) {
            out.append(HEAD).append('\t').append(roster.basedOn()).append('\n');
            for (Peer peer : roster.members().values()) {
                out.append(peer.id()).append('\t');
                out.append(peer.address()).append('\t');
                out.append(peer.zone()).append('\n');
            }
        }
        return out.toString();
    }

    /**
     * Parses the text form of rosters.
     *
     * @throws IllegalArgumentException if the text is not in the form that {@link #format} returns
     */
    static RosterChain parse(long revision, String text) {
        Vector<Roster> rosters = Vector.empty();
        for (String line : text.split("\n")) {
            String[] fields = line.split("\t", -1);
            if (fields[0].equals(HEAD) && fields.length == 2) {
                rosters = rosters.append(new Roster(Long.parseLong(fields[1]), TreeMap.empty()));
            } else if (fields.length == FIELDS && !rosters.isEmpty()) {
                rosters = rosters.update(rosters.size() - 1, r -> addMember(r, fields));
            } else {
                throw new IllegalArgumentException(
                        "expected a roster or member line in tab-separated form, got: " + line);
            }
        }
        return new RosterChain(revision, rosters);
    }

    private static Roster addMember(Roster roster, String[] fields) {
        Peer peer = new Peer(new NodeId(fields[0]), Address.parse(fields[1]), new Zone(fields[2]));
        return new Roster(roster.basedOn(), roster.members().put(peer.id(), peer));
    }
}
