/**
 * Idempotency claims: before a request with an idempotency key is run, a majority of the nodes that own the key grants
 * it a claim, so that the key's request runs at most once within the claim's lifetime. The entry point is {@link
 * org.fuchsiadeck.core.claim.ClaimReducer}.
 */
package org.fuchsiadeck.core.claim;
