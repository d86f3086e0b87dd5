/**
 * Values that every concern shares: identifiers, addresses, backend servers and what they report.
 */
package org.fuchsiadeck.core.model;
