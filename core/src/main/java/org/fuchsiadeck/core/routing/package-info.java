/**
 * Choice of a backend server for each request. {@link org.fuchsiadeck.core.routing.Fleet} holds the known state of the
 * servers, {@link org.fuchsiadeck.core.routing.PlacementFinder} determines which of them may take a request now, and
 * {@link org.fuchsiadeck.core.routing.Router} chooses among these.
 */
package org.fuchsiadeck.core.routing;
