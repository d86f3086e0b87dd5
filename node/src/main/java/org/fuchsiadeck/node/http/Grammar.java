package org.fuchsiadeck.node.http;

/**
 * Character classes of RFC 9110 and RFC 9112.
 */
final class Grammar {
    private static final String TOKEN_SYMBOLS = "!#$%&'*+-.^_`|~";
    private static final int DELETE = 0x7f;

    /** Characters of a received line that a message quotes. */
    private static final int MAX_QUOTED = 100;

    private static final boolean[] TOKEN = tokenCharacters();

    private Grammar() {}

    private static boolean[] tokenCharacters() {
        boolean[] token = new boolean[DELETE + 1];
        for (char c = 0; c <= DELETE; c++) {
            boolean letter = c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z';
            token[c] = letter || c >= '0' && c <= '9' || TOKEN_SYMBOLS.indexOf(c) >= 0;
        }
        return token;
    }

    /** Returns whether a text is a token: a method or the name of a field. */
    static boolean isToken(String text) {
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (c > DELETE || !TOKEN[c]) {
                return false;
            }
        }
        return !text.isEmpty();
    }

    /** Returns whether a text has only visible ASCII characters, as the target of a request has. */
    static boolean isVisible(String text) {
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (c <= ' ' || c >= DELETE) {
                return false;
            }
        }
        return !text.isEmpty();
    }

    /** Returns whether a byte may occur within a line of a head: visible, blank, tab, or not ASCII. */
    static boolean isText(int c) {
        return c >= ' ' && c != DELETE || c == '\t';
    }

    /** Returns a received line in quotes, cut to a length that fits a message. */
    static String quote(String line) {
        boolean cut = line.length() > MAX_QUOTED;
        return "'" + (cut ? line.substring(0, MAX_QUOTED) + "..." : line) + "'";
    }

    /** Removes blanks and tabs at both ends. */
    static String trim(String text) {
        int start = 0;
        int end = text.length();
        while (start < end && isBlank(text.charAt(start))) {
            start++;
        }
        while (start < end && isBlank(text.charAt(end - 1))) {
            end--;
        }
        return text.substring(start, end);
    }

    private static boolean isBlank(char c) {
        return c == ' ' || c == '\t';
    }
}
