/**
 * Estimates how fast backend servers are, from their own reports and from the time to the first byte of their answers.
 */
package org.fuchsiadeck.core.speed;
