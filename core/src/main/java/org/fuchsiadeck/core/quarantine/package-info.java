/**
 * Quarantine of prompt parts under which backend servers crash. Requests that share a part of their prompt can crash each
 * server that begins to answer them. The nodes tell each other which attempts they lost, and reject requests with a part
 * that several lost attempts have in common and that no answered request contained since.
 * {@link org.fuchsiadeck.core.quarantine.QuarantineReducer} collects the losses and answers;
 * {@link org.fuchsiadeck.core.quarantine.QuarantineState#check} decides on a request.
 */
package org.fuchsiadeck.core.quarantine;
