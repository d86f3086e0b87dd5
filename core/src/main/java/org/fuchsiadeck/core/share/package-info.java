/**
 * Limits and quotas that hold over all entry nodes together. Each node reports its usage, the reports are aggregated,
 * and each node derives from them what it may still admit. {@link org.fuchsiadeck.core.share.ShareReducer} sends and
 * receives the reports; {@link org.fuchsiadeck.core.share.ShareState} holds the known usage and checks requests and
 * retries against the limits.
 */
package org.fuchsiadeck.core.share;
