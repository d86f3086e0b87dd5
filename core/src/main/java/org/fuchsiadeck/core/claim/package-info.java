/**
 * Claims on idempotency keys, so that a request that may run only once runs only once. Start at {@link
 * org.fuchsiadeck.core.claim.ClaimReducer}.
 */
package org.fuchsiadeck.core.claim;
