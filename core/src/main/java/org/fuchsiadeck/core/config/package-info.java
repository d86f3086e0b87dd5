/**
 * The configuration of the fleet (policies, routes, teams, rules for callers) and the reducer that keeps it up to date
 * on a node. {@link org.fuchsiadeck.core.config.Configuration} is the entry point.
 */
package org.fuchsiadeck.core.config;
