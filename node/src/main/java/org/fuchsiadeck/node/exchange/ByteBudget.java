package org.fuchsiadeck.node.exchange;

import java.util.concurrent.atomic.AtomicLong;

import org.fuchsiadeck.core.model.Checks;

/**
 * Counts the bytes that a node holds for its callers, over all requests, and refuses more than it may hold.
 */
public final class ByteBudget {
    /** Bytes of one answer, or of one journal, that are always held, so that small answers are never given up. */
    public static final int SMALL_BYTES = 16 << 10;

    private static final int TIGHT_NUMERATOR = 3;
    private static final int TIGHT_DENOMINATOR = 4;

    private final long maxBytes;
    private final AtomicLong held = new AtomicLong();

    /**
     * Creates a budget of which nothing is used.
     *
     * @param maxBytes the bytes that may be held
     */
    public ByteBudget(long maxBytes) {
        this.maxBytes = Checks.inRange(maxBytes, 1, Long.MAX_VALUE / TIGHT_NUMERATOR, "maxBytes");
    }

    /**
     * Returns how many bytes are held.
     *
     * @return the bytes of all open accounts
     */
    public long held() {
        return held.get();
    }

    /**
     * Tells whether so little is left that no new work should be taken, and that callers who take nothing are given up
     * early.
     *
     * @return whether more than three quarters are used
     */
    public boolean isTight() {
        return held.get() > maxBytes * TIGHT_NUMERATOR / TIGHT_DENOMINATOR;
    }

    /**
     * Opens an account, which holds nothing yet.
     *
     * @return the account
     */
    public Account open() {
        return new Account();
    }

    private boolean reserve(long bytes, long most) {
        if (held.addAndGet(bytes) <= most) {
            return true;
        }
        held.addAndGet(-bytes);
        return false;
    }

    /** The bytes held for one purpose. Counts nothing once closed. */
    public final class Account implements AutoCloseable {
        private long bytes;
        private boolean closed;

        private Account() {}

        /**
         * Counts more bytes if the budget has room for them.
         *
         * @param more the bytes
         * @return false if there is no room, so that they must not be held
         */
        public synchronized boolean take(long more) {
            return take(more, maxBytes);
        }

        /**
         * Counts more bytes of an answer that is gathered, if there is room. Answers may have no end, so that many of them
         * together use half of the budget; the rest is left to requests, which are refused when it gets tight. An answer
         * that is most of what is held may use all.
         *
         * @param more the bytes
         * @return false if there is no room, so that they must not be held
         */
        public synchronized boolean takeOfAnswer(long more) {
            boolean alone = 2 * (bytes + more) > held.get() + more;
            return take(more, alone ? maxBytes : maxBytes / 2);
        }

        private boolean take(long more, long most) {
            if (closed) {
                return true;
            }
            if (!reserve(more, most)) {
                return false;
            }
            bytes += more;
            return true;
        }

        /**
         * Counts more bytes, whether or not the budget has room for them.
         *
         * @param more the bytes; negative if fewer are held
         */
        public synchronized void add(long more) {
            if (!closed) {
                bytes += more;
                held.addAndGet(more);
            }
        }

        /**
         * Counts bytes in place of those counted before, whether or not the budget has room for them.
         *
         * @param now the bytes held now
         */
        public synchronized void set(long now) {
            add(now - bytes);
        }

        /** Gives back all bytes. */
        @Override
        public synchronized void close() {
            add(-bytes);
            closed = true;
        }
    }
}
