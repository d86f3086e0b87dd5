/**
 * Which backend server takes a request. {@link org.fuchsiadeck.core.routing.Fleet} keeps what is known of the servers,
 * {@link org.fuchsiadeck.core.routing.Router} chooses among those that may take the request now.
 */
package org.fuchsiadeck.core.routing;
