/**
 * Limits that keep an overloaded node useful: concurrency for each backend server, fair queueing between teams, a
 * queue bounded by its predicted wait, and a budget for retries. Everything here is a value; start at {@link
 * org.fuchsiadeck.core.limit.FairQueue} and {@link org.fuchsiadeck.core.limit.ConcurrencyLimit}.
 */
package org.fuchsiadeck.core.limit;
