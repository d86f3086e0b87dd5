/**
 * Commands that read the state of a running node from its operators' address.
 */
package org.fuchsiadeck.cli.state;
