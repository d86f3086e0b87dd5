/**
 * Placeholder.
 */
package org.fuchsiadeck.node;
