/**
 * The client of the platform's list of instances. Start at {@link org.fuchsiadeck.node.listing.InstanceList}.
 */
package org.fuchsiadeck.node.listing;
