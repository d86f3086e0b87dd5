/**
 * Placeholder.
 */
package org.fuchsiadeck.testbed;
