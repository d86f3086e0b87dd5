/**
 * The stand-in of a model engine: continuous batching by a cost model, a prefix cache, resume, KV cache export and
 * import, orders, and versions that are bad. Start at {@link org.fuchsiadeck.testbed.engine.EngineServer}; an answer is
 * checked with {@link org.fuchsiadeck.testbed.engine.Tokens}.
 */
package org.fuchsiadeck.testbed.engine;
