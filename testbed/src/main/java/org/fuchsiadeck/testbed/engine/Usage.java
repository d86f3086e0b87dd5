package org.fuchsiadeck.testbed.engine;

/**
 * What an answer took.
 *
 * @param tokens the tokens of the whole answer
 * @param promptTokens the tokens of the prompt
 * @param cachedTokens the tokens of prompt and resumed text that were cached or imported
 * @param recomputedTokens the tokens of prompt and resumed text that were computed
 */
record Usage(int tokens, int promptTokens, int cachedTokens, int recomputedTokens) {}
