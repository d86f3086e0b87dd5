/**
 * The settings of a node, read from a TOML file and checked whole. Start at {@link
 * org.fuchsiadeck.node.settings.SettingsFile}.
 */
package org.fuchsiadeck.node.settings;
