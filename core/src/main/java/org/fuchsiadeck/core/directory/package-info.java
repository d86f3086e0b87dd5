/**
 * The lists of backend servers and entry nodes from the platform's key-value service, where every server and every node
 * registers with a leased key. Start at {@link org.fuchsiadeck.core.directory.DirectoryReducer}.
 */
package org.fuchsiadeck.core.directory;
