/**
 * Attempts at backend servers: connections and their reuse, the request as it is written, the answer as it is read and
 * checked. Start at {@link org.fuchsiadeck.node.backend.BackendClient}.
 */
package org.fuchsiadeck.node.backend;
