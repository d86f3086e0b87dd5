/**
 * The configuration in force: defaults, exceptions with their reasons, routes and teams. Start at {@link
 * org.fuchsiadeck.core.config.Configuration}.
 */
package org.fuchsiadeck.core.config;
