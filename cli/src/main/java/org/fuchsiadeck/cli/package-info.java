/**
 * Placeholder.
 */
package org.fuchsiadeck.cli;
