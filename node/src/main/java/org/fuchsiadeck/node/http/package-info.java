/**
 * Decides where each HTTP message on a connection ends, for requests and for responses, by one grammar. Everything above
 * is passed one message at a time, in a form that has a single reading. Start at {@link
 * org.fuchsiadeck.node.http.MessageReader}.
 */
package org.fuchsiadeck.node.http;
