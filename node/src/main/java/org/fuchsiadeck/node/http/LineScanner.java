package org.fuchsiadeck.node.http;

/**
 * Finds the ends of lines in received bytes. Lines end with CR LF; neither byte may occur elsewhere.
 */
final class LineScanner {
    /** Result of a scan that needs more bytes. */
    static final int INCOMPLETE = -1;

    private final ByteQueue queue;
    private int scanned;
    private int lineStart;

    LineScanner(ByteQueue queue) {
        this.queue = queue;
    }

    /** Starts at the first byte of the queue. */
    void restart() {
        scanned = 0;
        lineStart = 0;
    }

    /** Returns the length of the first line without its end, or {@link #INCOMPLETE}. */
    int findLine(int maxBytes) throws MalformedMessageException {
        int end = nextLineEnd(maxBytes);
        if (end != INCOMPLETE) {
            restart();
        }
        return end;
    }

    /** Returns the length of the lines up to and including the first empty one, or {@link #INCOMPLETE}. */
    int findEmptyLine(int maxBytes) throws MalformedMessageException {
        while (true) {
            int start = lineStart;
            int end = nextLineEnd(maxBytes);
            if (end == INCOMPLETE) {
                return INCOMPLETE;
            }
            if (end == start) {
                int length = lineStart;
                restart();
                return length;
            }
        }
    }

    private int nextLineEnd(int maxBytes) throws MalformedMessageException {
        for (; scanned < queue.size(); scanned++) {
            if (scanned >= maxBytes) {
                throw new MalformedMessageException(
                        MalformedMessageException.Kind.TOO_LARGE, "expected at most " + maxBytes + " bytes of lines");
            }
            int c = queue.at(scanned);
            if (c == '\r') {
                return lineEnd();
            }
            if (!Grammar.isText(c)) {
                throw unexpected(c);
            }
        }
        return INCOMPLETE;
    }

    private int lineEnd() throws MalformedMessageException {
        if (scanned + 1 >= queue.size()) {
            return INCOMPLETE;
        }
        int next = queue.at(scanned + 1);
        if (next != '\n') {
            throw unexpected('\r');
        }
        int end = scanned;
        scanned += 2;
        lineStart = scanned;
        return end;
    }

    private static MalformedMessageException unexpected(int c) {
        return MalformedMessageException.syntax("expected text or CR LF, got byte 0x" + Integer.toHexString(c));
    }
}
