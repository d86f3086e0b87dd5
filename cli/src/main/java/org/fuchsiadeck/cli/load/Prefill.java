package org.fuchsiadeck.cli.load;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What engines computed of the prompts of whole answers, the warm-up included.
 *
 * @param promptTokens tokens of the prompts
 * @param computedTokens tokens that the caches lacked
 * @param recomputedTokens tokens of shared prefixes that were computed more than once over all engines
 */
record Prefill(long promptTokens, long computedTokens, long recomputedTokens) {
    static Prefill of(List<Result> results) {
        long prompt = 0;
        long computed = 0;
        long shared = 0;
        Map<Integer, Integer> needed = new HashMap<>();
        for (Result r : results) {
            RequestMix kind = r.planned().request();
            if (!kind.streamed() || !r.answered()) {
                continue;
            }
            prompt += r.usage().promptTokens();
            computed += r.usage().computedTokens();
            shared += Math.max(0, r.usage().computedTokens() - kind.ownWords());
            needed.merge(r.planned().group(), kind.prefixWords(), Math::max);
        }
        long once = needed.values().stream().mapToLong(n -> n).sum();
        return new Prefill(prompt, computed, Math.max(0, shared - once));
    }
}
