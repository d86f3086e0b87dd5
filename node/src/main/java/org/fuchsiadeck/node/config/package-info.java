/**
 * The configuration outside the core: reading it from TOML, the value that the platform's service holds, and
 * accepting a new one. Start at {@link org.fuchsiadeck.node.config.ConfigParser} and
 * {@link org.fuchsiadeck.node.config.ConfigStore}.
 */
package org.fuchsiadeck.node.config;
