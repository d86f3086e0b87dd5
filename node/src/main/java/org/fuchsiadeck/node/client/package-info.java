/**
 * Connections to other HTTP servers, without any rule of when to use them. Start at {@link
 * org.fuchsiadeck.node.client.HttpClient}.
 */
package org.fuchsiadeck.node.client;
