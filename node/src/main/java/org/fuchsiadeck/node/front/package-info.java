/**
 * The HTTP server for callers: reads and checks requests, writes answers and streams. Start at {@link
 * org.fuchsiadeck.node.front.CallerServer}.
 */
package org.fuchsiadeck.node.front;
