package org.fuchsiadeck.node.listing;

/**
 * Where a node learns of its backend servers.
 */
public interface BackendDirectory {
    /** A directory that the decisions keep by themselves. */
    BackendDirectory IN_STATE = new BackendDirectory() {
        @Override
        public void poll() {}

        @Override
        public boolean isKnown() {
            return true;
        }
    };

    /** Reads the list unless a reading is in progress. */
    void poll();

    /**
     * Tells whether the list was read at least once.
     *
     * @return whether the servers are known
     */
    boolean isKnown();
}
