package org.fuchsiadeck.cli.load;

import java.util.ArrayList;
import java.util.List;

import org.fuchsiadeck.testbed.engine.Tokens;

/**
 * Checks a streamed answer token by token against what the stand-ins generate.
 */
final class TokenCheck {
    private final int maxTokens;
    private final List<String> expected = new ArrayList<>();
    private int next;
    private int position;
    private boolean right = true;

    /**
     * Makes a check.
     *
     * @param versions the versions whose answer is right
     * @param prompt the prompt
     * @param maxTokens the tokens of the whole answer
     */
    TokenCheck(List<String> versions, String prompt, int maxTokens) {
        this.maxTokens = maxTokens;
        versions.forEach(v -> expected.add(Tokens.text(v, prompt, maxTokens)));
    }

    void take(int index, String text) {
        int at = position;
        expected.removeIf(e -> !e.startsWith(text, at));
        right &= index == next && !text.isEmpty() && !expected.isEmpty();
        next++;
        position += text.length();
    }

    /** Tells whether all tokens so far are right. */
    boolean isRight() {
        return right;
    }

    /** Tells whether the answer is right and ends here. */
    boolean isWhole() {
        return right && next == maxTokens;
    }

    int tokens() {
        return next;
    }
}
