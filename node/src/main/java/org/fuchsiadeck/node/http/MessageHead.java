package org.fuchsiadeck.node.http;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import static java.util.Objects.requireNonNull;

/**
 * Head of a request or response.
 *
 * @param startLine the request line or status line
 * @param version the version of HTTP
 * @param status the status of a response; 0 for a request
 * @param fields the header fields in their order
 */
record MessageHead(String startLine, String version, int status, List<Field> fields) {
    private static final String LINE_END = "\r\n";
    private static final String HTTP_10 = "HTTP/1.0";
    private static final String HTTP_11 = "HTTP/1.1";
    private static final Pattern STATUS_LINE = Pattern.compile("(HTTP/1\\.[01]) ([1-9]\\d\\d)( .*)?");

    MessageHead {
        requireNonNull(startLine, "startLine");
        requireNonNull(version, "version");
        fields = List.copyOf(fields);
    }

    /**
     * Header field.
     *
     * @param name the name as it was received
     * @param value the value without surrounding white space
     */
    record Field(String name, String value) {
        private static Field parse(String line) throws MalformedMessageException {
            int colon = line.indexOf(':');
            if (colon < 0 || !Grammar.isToken(line.substring(0, colon))) {
                throw MalformedMessageException.syntax("expected a header field, got " + Grammar.quote(line));
            }
            return new Field(line.substring(0, colon), Grammar.trim(line.substring(colon + 1)));
        }
    }

    /**
     * Parses the head of a request.
     *
     * @param bytes all lines, the empty one included
     */
    static MessageHead parseRequest(byte[] bytes) throws MalformedMessageException {
        String text = new String(bytes, StandardCharsets.ISO_8859_1);
        String line = startLine(text);
        String[] parts = line.split(" ", -1);
        boolean valid = parts.length == 3
                && Grammar.isToken(parts[0])
                && Grammar.isVisible(parts[1])
                && (parts[2].equals(HTTP_11) || parts[2].equals(HTTP_10));
        if (!valid) {
            throw MalformedMessageException.syntax("expected a request line, got " + Grammar.quote(line));
        }
        MessageHead head = new MessageHead(line, parts[2], 0, parseFields(text, line.length() + LINE_END.length()));
        int hosts = head.values("host").size();
        if (hosts > 1 || hosts == 0 && head.isHttp11()) {
            throw MalformedMessageException.syntax("expected one Host, got " + hosts);
        }
        return head;
    }

    /**
     * Parses the head of a response.
     *
     * @param bytes all lines, the empty one included
     */
    static MessageHead parseResponse(byte[] bytes) throws MalformedMessageException {
        String text = new String(bytes, StandardCharsets.ISO_8859_1);
        Matcher line = STATUS_LINE.matcher(startLine(text));
        if (!line.matches()) {
            throw MalformedMessageException.syntax("expected a status line, got " + Grammar.quote(startLine(text)));
        }
        List<Field> fields = parseFields(text, line.group().length() + LINE_END.length());
        return new MessageHead(line.group(), line.group(1), Integer.parseInt(line.group(2)), fields);
    }

    private static String startLine(String text) {
        return text.substring(0, text.indexOf(LINE_END));
    }

    /** Parses the fields from an offset to the empty line that ends them. */
    static List<Field> parseFields(String text, int offset) throws MalformedMessageException {
        List<Field> fields = new ArrayList<>();
        int start = offset;
        for (int end = text.indexOf(LINE_END, start); end > start; end = text.indexOf(LINE_END, start)) {
            fields.add(Field.parse(text.substring(start, end)));
            start = end + LINE_END.length();
        }
        return fields;
    }

    boolean isHttp11() {
        return version.equals(HTTP_11);
    }

    /** Returns the values of the fields with a name. */
    List<String> values(String name) {
        List<String> values = new ArrayList<>(1);
        for (Field field : fields) {
            if (field.name.equalsIgnoreCase(name)) {
                values.add(field.value);
            }
        }
        return values;
    }

    /** Returns the head as bytes, in which the framing of the body is stated exactly once. */
    byte[] encode(BodyFraming framing) {
        StringBuilder text = new StringBuilder(startLine).append(LINE_END);
        for (Field field : fields) {
            if (!isFraming(field)) {
                append(text, field.name, field.value);
            }
        }
        switch (framing.kind()) {
            case LENGTH -> append(text, "Content-Length", String.valueOf(framing.length()));
            case CHUNKED -> append(text, "Transfer-Encoding", "chunked");
            default -> {}
        }
        return text.append(LINE_END).toString().getBytes(StandardCharsets.ISO_8859_1);
    }

    private static boolean isFraming(Field field) {
        return field.name.equalsIgnoreCase(BodyFraming.CONTENT_LENGTH)
                || field.name.equalsIgnoreCase(BodyFraming.TRANSFER_ENCODING);
    }

    private static void append(StringBuilder text, String name, String value) {
        text.append(name).append(": ").append(value).append(LINE_END);
    }
}
