package org.fuchsiadeck.testbed.engine;

import java.nio.charset.StandardCharsets;

import static java.util.Objects.requireNonNull;

/**
 * The tokens that an engine generates. They depend only on version, prompt and position, so that a reader can check an
 * answer whole.
 */
public final class Tokens {
    private static final String[] WORDS = {
        "আজ ", "সকালে ", "শিশুরা ", "ভাত ", "ডাল ", "খেয়েছে ", "স্কুল ", "শিক্ষক ",
        "রান্না ", "মাস ", "নোটিশ ", "অভিভাবক ", "উপস্থিত ", "হাওড়া ", "ওয়ার্ড ", "খাতা ",
        "জলখাবার ", "দিদিমণি ", "তালিকা ", "হিসাব ", "চাল ", "সংখ্যা ", "সবজি ", "ডিম ",
        "techo ", "lámina ", "clavo ", "lluvia ", "ladera ", "barrio ", "inspección ", "cuadrilla ",
        "señora ", "visita ", "gotera ", "teja ", "viga ", "reparación ", "mañana ", "canal ",
        "the ", "of ", "and ", "register ", "breakfast ", "children ", "summary ", "parents ",
        "roof ", "sheet ", "slope ", "estimate ", "nails ", "survey ", "repair ", "before ",
        "rain ", "week ", "count ", "present ", "absent ", "case ", "status ", "plan "
    };

    /** How many words there are; a power of two. */
    static final int WORD_COUNT = WORDS.length;

    private static final byte[][] BYTES = new byte[WORDS.length][];

    private static final long GOLDEN_GAMMA = 0x9E37_79B9_7F4A_7C15L;

    private static final long MIX_1 = 0xBF58_476D_1CE4_E5B9L;

    private static final long MIX_2 = 0x94D0_49BB_1331_11EBL;

    static {
        for (int i = 0; i < WORDS.length; i++) {
            BYTES[i] = WORDS[i].getBytes(StandardCharsets.UTF_8);
        }
    }

    private Tokens() {}

    /**
     * Gives one token.
     *
     * @param version the engine's version
     * @param prompt the prompt, without what was generated
     * @param i the position in the whole answer, from 0
     * @return a word and the space that follows it
     */
    public static String token(String version, String prompt, int i) {
        return WORDS[index(seed(version, prompt), i)];
    }

    /**
     * Gives the text of the first tokens of an answer.
     *
     * @param version the engine's version
     * @param prompt the prompt, without what was generated
     * @param count how many tokens
     * @return the text
     */
    public static String text(String version, String prompt, int count) {
        long seed = seed(version, prompt);
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < count; i++) {
            text.append(WORDS[index(seed, i)]);
        }
        return text.toString();
    }

    static long seed(String version, String prompt) {
        requireNonNull(version, "version");
        return TokenHashes.hash(TokenHashes.hash(TokenHashes.START, version + "\n"), prompt);
    }

    static int index(long seed, int i) {
        long z = seed + (i + 1) * GOLDEN_GAMMA;
        z = (z ^ z >>> 30) * MIX_1;
        z = (z ^ z >>> 27) * MIX_2;
        return (int) ((z ^ z >>> 31) & WORDS.length - 1);
    }

    static String word(int index) {
        return WORDS[index];
    }

    static byte[] bytes(int index) {
        return BYTES[index];
    }
}
