package org.fuchsiadeck.node.exchange;

import static java.util.Objects.requireNonNull;

/**
 * What the exchange of one request may hold.
 *
 * @param budget counts the bytes over all requests of the node
 * @param maxJournalBytes the longest text of one stream, in bytes
 * @param maxTokens most tokens of one stream
 */
public record Room(ByteBudget budget, int maxJournalBytes, int maxTokens) {
    public Room {
        requireNonNull(budget, "budget");
    }

    /**
     * Returns the room of a stream whose caller names how many tokens it wants.
     *
     * @param tokens most tokens of the stream
     * @return the room
     */
    public Room forTokens(int tokens) {
        return new Room(budget, maxJournalBytes, tokens);
    }
}
