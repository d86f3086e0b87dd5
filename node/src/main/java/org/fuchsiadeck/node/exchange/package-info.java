/**
 * Callers' requests in progress: what the caller sent, which attempt's answer is passed on, and the journal of tokens
 * delivered. Start at {@link org.fuchsiadeck.node.exchange.Exchange}.
 */
package org.fuchsiadeck.node.exchange;
