/**
 * Commands on the configuration: apply, show, diff, explain, history.
 */
package org.fuchsiadeck.cli.config;
