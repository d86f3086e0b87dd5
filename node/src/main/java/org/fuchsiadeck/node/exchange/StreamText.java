package org.fuchsiadeck.node.exchange;

import java.util.Optional;

import org.fuchsiadeck.core.request.Failure;

/**
 * The text of a stream that was passed on, kept so that another server can go on after it. Guarded by its exchange.
 */
final class StreamText {
    private final Room room;
    private final ByteBudget.Account account;
    private final StringBuilder text = new StringBuilder();
    private int tokens;
    private int bytes;

    StreamText(Room room, ByteBudget.Account account, int received) {
        this.room = room;
        this.account = account;
        this.tokens = received;
    }

    /**
     * Why a token can't be kept, so that its attempt must fail.
     *
     * @param kind the kind of the failure
     * @param detail what was seen
     */
    record Overrun(Failure.Kind kind, String detail) {}

    /** Keeps the text of a token, unless it goes beyond a limit. */
    Optional<Overrun> append(String token) {
        int more = token.length() * Character.BYTES;
        if (tokens >= room.maxTokens()) {
            String detail = "more than the " + room.maxTokens() + " tokens asked for came";
            return Optional.of(new Overrun(Failure.Kind.BAD_ANSWER, detail));
        }
        if (more > room.maxJournalBytes() - bytes) {
            String detail = "the stream is longer than " + room.maxJournalBytes() + " bytes";
            return Optional.of(new Overrun(Failure.Kind.BAD_ANSWER, detail));
        }
        if (!count(more)) {
            String detail = "the node holds too many bytes for its callers";
            return Optional.of(new Overrun(Failure.Kind.NO_ROOM, detail));
        }
        tokens++;
        bytes += more;
        text.append(token);
        return Optional.empty();
    }

    private boolean count(int more) {
        if (bytes + more > ByteBudget.SMALL_BYTES) {
            return account.take(more);
        }
        account.add(more);
        return true;
    }

    int tokens() {
        return tokens;
    }

    Journal journal() {
        return new Journal(text.toString(), tokens);
    }
}
