/**
 * Overload protection: concurrency limits for each backend server, fair queueing between teams, a queue
 * bounded by its predicted wait, and a budget for retries. All types are immutable. The main ones are {@link
 * org.fuchsiadeck.core.limit.FairQueue} and {@link org.fuchsiadeck.core.limit.ConcurrencyLimit}.
 */
package org.fuchsiadeck.core.limit;
