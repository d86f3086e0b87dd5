/**
 * Value types used by all packages: identifiers, addresses, backend servers and their reports, peers, and hashing.
 */
package org.fuchsiadeck.core.model;
