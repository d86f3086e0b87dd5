/**
 * The life of a caller's request, from arrival to its final answer. Start at {@link
 * org.fuchsiadeck.core.request.RequestReducer}.
 */
package org.fuchsiadeck.core.request;
