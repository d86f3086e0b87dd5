/**
 * Decides how a caller's request is admitted, dispatched, retried and answered. The entry point is {@link
 * org.fuchsiadeck.core.request.RequestReducer}.
 */
package org.fuchsiadeck.core.request;
