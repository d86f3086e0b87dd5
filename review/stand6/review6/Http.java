package review6;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Reads HTTP/1.1 messages from a stream. */
final class Http {
    private Http() {}

    /** A message; the names of its headers are in lower case. */
    record Message(String start, Map<String, String> headers, byte[] body, boolean complete) {
        String header(String name) {
            return headers.get(name);
        }

        int status() {
            return Integer.parseInt(start.split(" ")[1]);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    static Message head(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        int ends = 0;
        while (ends < 2) {
            int b = in.read();
            if (b < 0) {
                if (bytes.size() == 0) {
                    return null;
                }
                throw new EOFException("closed within a head");
            }
            bytes.write(b);
            ends = b == '\n' ? ends + 1 : b == '\r' ? ends : 0;
        }
        String[] lines = bytes.toString(StandardCharsets.ISO_8859_1).split("\r\n");
        Map<String, String> headers = new LinkedHashMap<>();
        for (int i = 1; i < lines.length; i++) {
            int colon = lines[i].indexOf(':');
            headers.put(
                    lines[i].substring(0, colon).toLowerCase(Locale.ROOT),
                    lines[i].substring(colon + 1).trim());
        }
        return new Message(lines[0], headers, new byte[0], true);
    }

    /** Reads a message whole; null if the stream ends before it. An answer without a length ends with the stream. */
    static Message read(InputStream in, boolean answer) throws IOException {
        Message head = head(in);
        if (head == null) {
            return null;
        }
        String length = head.header("content-length");
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        boolean complete = true;
        try {
            if ("chunked".equals(head.header("transfer-encoding"))) {
                complete = readChunks(in, body);
            } else if (length != null) {
                byte[] bytes = in.readNBytes(Integer.parseInt(length));
                body.writeBytes(bytes);
                complete = bytes.length == Integer.parseInt(length);
            } else if (answer) {
                body.writeBytes(in.readAllBytes());
            }
        } catch (IOException e) {
            complete = false;
        }
        return new Message(head.start(), head.headers(), body.toByteArray(), complete);
    }

    private static boolean readChunks(InputStream in, ByteArrayOutputStream body) throws IOException {
        while (true) {
            String size = line(in);
            if (size == null) {
                return false;
            }
            int n = Integer.parseInt(size.split(";")[0].trim(), 16);
            byte[] bytes = in.readNBytes(n);
            body.writeBytes(bytes);
            if (bytes.length < n || line(in) == null) {
                return false;
            }
            if (n == 0) {
                return true;
            }
        }
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder text = new StringBuilder();
        for (int b = in.read(); b >= 0; b = in.read()) {
            if (b == '\n') {
                return text.toString().trim();
            }
            text.append((char) b);
        }
        return null;
    }
}
