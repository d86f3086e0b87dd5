/**
 * Attempts at backend servers: pooled connections, request serialization, and parsing and validation of answers. Start
 * at {@link org.fuchsiadeck.node.backend.BackendClient}.
 */
package org.fuchsiadeck.node.backend;
