/**
 * HTTP client of an entry node: opens connections and sends requests; callers decide when to use a connection. Start at
 * {@link org.fuchsiadeck.node.client.HttpClient}.
 */
package org.fuchsiadeck.node.client;
