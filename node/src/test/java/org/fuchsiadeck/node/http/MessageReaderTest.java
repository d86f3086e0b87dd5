package org.fuchsiadeck.node.http;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.junit.jupiter.params.provider.Arguments.arguments;

/** Guards against a message whose end is found elsewhere by another reader. */
class MessageReaderTest {
    private static final int MAX_HEAD_BYTES = 200;
    private static final String POST = "POST /a?b HTTP/1.1\r\nHost: n\r\n";
    private static final String GET = "GET / HTTP/1.1\r\nHost: n\r\n\r\n";
    private static final String OK = "HTTP/1.1 200 OK\r\n";

    static Stream<Arguments> requests() {
        return Stream.of(
                arguments("no body", GET, List.of(GET)),
                arguments("HTTP/1.0 without a host", "GET / HTTP/1.0\r\n\r\n", List.of("GET / HTTP/1.0\r\n\r\n")),
                arguments("an empty line before", "\r\n" + GET, List.of(GET)),
                arguments(
                        "a length",
                        POST + "content-LENGTH:\t3 \r\n\r\nabc",
                        List.of(POST + "Content-Length: 3\r\n\r\nabc")),
                arguments("no bytes", POST + "Content-Length: 0\r\n\r\n", List.of(POST + "Content-Length: 0\r\n\r\n")),
                arguments(
                        "leading zeros",
                        POST + "Content-Length: 003\r\n\r\nabc",
                        List.of(POST + "Content-Length: 3\r\n\r\nabc")),
                arguments(
                        "a body that holds a request",
                        POST + "Content-Length: " + GET.length() + "\r\n\r\n" + GET,
                        List.of(POST + "Content-Length: " + GET.length() + "\r\n\r\n" + GET)),
                arguments(
                        "chunks", POST + "Transfer-Encoding: Chunked\r\n\r\n1\r\na\r\n2\r\nbc\r\n0\r\n\r\n", chunked()),
                arguments(
                        "chunks with extensions and trailer",
                        POST
                                + "Transfer-Encoding: chunked\r\n\r\n01;x\r\na\r\n2 ; y=\"z\"\r\nbc\r\n0;e\r\nT: 1\r\n\r\n",
                        chunked()),
                arguments(
                        "other fields",
                        "PUT /~ HTTP/1.1\r\nHost:n\r\nX-!#: \t\u00e9 \tb\t\r\nY:\r\n\r\n",
                        List.of("PUT /~ HTTP/1.1\r\nHost: n\r\nX-!#: \u00e9 \tb\r\nY: \r\n\r\n")),
                arguments(
                        "two requests",
                        GET + POST + "Content-Length: 1\r\n\r\na",
                        List.of(GET, POST + "Content-Length: 1\r\n\r\na")));
    }

    private static List<String> chunked() {
        return List.of(POST + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n");
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("requests")
    void rewritesARequestSoThatItHasOneReading(String what, String sent, List<String> expected) throws Exception {
        assertThat(readRequests(sent, sent.length())).isEqualTo(expected);
        assertThat(readRequests(String.join("", expected), sent.length())).isEqualTo(expected);
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("requests")
    void findsTheSameEndsInBytesThatComeOneByOne(String what, String sent, List<String> expected) throws Exception {
        assertThat(bodies(readRequests(sent, 1))).isEqualTo(bodies(expected));
    }

    static Stream<Arguments> malformedRequests() {
        return Stream.of(
                        "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
                        "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n",
                        "Content-Length: 4\r\nContent-Length: 4\r\n",
                        "Content-Length: 4\r\nContent-Length: 5\r\n",
                        "Content-Length: 4, 4\r\n",
                        "Content-Length: +4\r\n",
                        "Content-Length: -4\r\n",
                        "Content-Length: 4 4\r\n",
                        "Content-Length: 0x4\r\n",
                        "Content-Length: \u0664\r\n",
                        "Content-Length:\r\n",
                        "Content-Length: 9999999999999999999\r\n",
                        "Transfer-Encoding: gzip, chunked\r\n",
                        "Transfer-Encoding: chunked, chunked\r\n",
                        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
                        "Transfer-Encoding: identity\r\nTransfer-Encoding: chunked\r\n",
                        "Transfer-Encoding: identity, chunked\r\n",
                        "Transfer-Encoding: identity\r\n",
                        "Transfer-Encoding: xchunked\r\n",
                        "Transfer-Encoding: chunked;x\r\n",
                        "Transfer-Encoding: \"chunked\"\r\n",
                        "Transfer-Encoding: ,chunked\r\n",
                        "Transfer-Encoding:\r\n",
                        "Transfer-Encoding : chunked\r\n",
                        "Content-Length : 4\r\n",
                        "Tenant : x\r\n",
                        " Content-Length: 4\r\n",
                        "X: a\r\n Content-Length: 4\r\n",
                        "X: a\r\n\tb\r\n",
                        "X: a\rContent-Length: 4\r\n",
                        "X: a\nContent-Length: 4\r\n",
                        "X: a\n",
                        "X: a\0b\r\n",
                        "X: a\u000bb\r\n",
                        "X\u00e9: a\r\n",
                        "X\r\n",
                        ": a\r\n",
                        "Host: other\r\n")
                .map(fields -> arguments(fields.replace("\r\n", "|"), POST + fields + "\r\n0\r\n\r\n"));
    }

    static Stream<Arguments> malformedStartLines() {
        return Stream.of(
                        "GET / HTTP/1.1\r\n",
                        "GET / HTTP/2.0\r\nHost: n\r\n",
                        "GET / HTTP/1.10\r\nHost: n\r\n",
                        "GET / http/1.1\r\nHost: n\r\n",
                        "GET  / HTTP/1.1\r\nHost: n\r\n",
                        "GET / x HTTP/1.1\r\nHost: n\r\n",
                        "GET /\u00e9 HTTP/1.1\r\nHost: n\r\n",
                        "GET\t/ HTTP/1.1\r\nHost: n\r\n",
                        "GET / HTTP/1.1 \r\nHost: n\r\n",
                        " GET / HTTP/1.1\r\nHost: n\r\n",
                        "72  POST / HTTP/1.1\r\nHost: n\r\n",
                        "G(T / HTTP/1.1\r\nHost: n\r\n",
                        "GET /\r\nHost: n\r\n",
                        "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n",
                        "\r\n\r\n\r\n\r\n\r\nGET / HTTP/1.1\r\nHost: n\r\n",
                        "\nGET / HTTP/1.1\r\nHost: n\r\n",
                        "\u0016\u0003\u0001\r\n")
                .map(lines -> arguments(lines.replace("\r\n", "|"), lines + "\r\n"));
    }

    static Stream<Arguments> malformedChunks() {
        return Stream.of(
                        "\r\n",
                        "g\r\n",
                        "0x1\r\na\r\n",
                        "-1\r\n",
                        "1 \r\na\r\n",
                        " 1\r\na\r\n",
                        "1 2\r\na\r\n",
                        "1\na\r\n",
                        "1;a\nb\r\na\r\n",
                        "1\r\nab\r\n",
                        "1\r\na\n\r\n",
                        "1\r\na0\r\n\r\n",
                        "1000000000000000\r\na\r\n",
                        "0\r\nT : 1\r\n\r\n",
                        "0\r\nGET / HTTP/1.1\r\n\r\n",
                        "0\r\n" + "T: 1\r\n".repeat(MAX_HEAD_BYTES),
                        "1;" + "x".repeat(2_000) + "\r\na\r\n")
                .map(chunks -> arguments(
                        chunks.substring(0, Math.min(20, chunks.length())).replace("\r\n", "|"),
                        POST + "Transfer-Encoding: chunked\r\n\r\n" + chunks));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource({"malformedRequests", "malformedStartLines", "malformedChunks"})
    void acceptsNothingOutsideTheGrammar(String what, String sent) {
        for (int pieceBytes : List.of(sent.length(), 7, 1)) {
            assertThatThrownBy(() -> readRequests(sent, pieceBytes)).isInstanceOf(MalformedMessageException.class);
            assertThatThrownBy(() -> readRequests(GET + sent, pieceBytes))
                    .isInstanceOf(MalformedMessageException.class);
        }
    }

    @Test
    void readsNoHeadBeyondItsMaximumLength() throws Exception {
        String start = "GET / HTTP/1.1\r\nHost: n\r\nX: ";
        String longest = start + "y".repeat(MAX_HEAD_BYTES - start.length() - 4) + "\r\n\r\n";
        assertThat(readRequests(longest, 50)).hasSize(1);
        assertThatThrownBy(() -> readRequests(longest.replace("X: ", "X: yyy"), 50))
                .isInstanceOfSatisfying(
                        MalformedMessageException.class,
                        e -> assertThat(e.kind()).isEqualTo(MalformedMessageException.Kind.TOO_LARGE));
    }

    static Stream<Arguments> responses() {
        return Stream.of(
                arguments(OK + "Content-Length: 2\r\n\r\nab", false, List.of(OK + "Content-Length: 2\r\n\r\nab")),
                arguments(
                        "HTTP/1.1 200\r\nContent-Length: 0\r\n\r\n",
                        false,
                        List.of("HTTP/1.1 200\r\nContent-Length: 0\r\n\r\n")),
                arguments(
                        OK + "Transfer-Encoding: chunked\r\n\r\n1;x\r\na\r\n0\r\n\r\n",
                        false,
                        List.of(OK + "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n")),
                arguments(OK + "Content-Length: 2\r\n\r\n", true, List.of(OK + "\r\n")),
                arguments(
                        "HTTP/1.1 204 No\r\nContent-Length: 2\r\n\r\n" + OK + "Content-Length: 0\r\n\r\n",
                        false,
                        List.of("HTTP/1.1 204 No\r\n\r\n", OK + "Content-Length: 0\r\n\r\n")),
                arguments(
                        "HTTP/1.1 100 Continue\r\n\r\n" + OK + "Content-Length: 0\r\n\r\n",
                        false,
                        List.of("HTTP/1.1 100 Continue\r\n\r\n", OK + "Content-Length: 0\r\n\r\n")),
                arguments(OK + "\r\nuntil the close\r\n\r\n", false, List.of(OK + "\r\nuntil the close\r\n\r\n")));
    }

    @ParameterizedTest
    @MethodSource("responses")
    void rewritesAResponseSoThatItHasOneReading(String sent, boolean head, List<String> expected) throws Exception {
        assertThat(read(MessageReader.ofResponses(MAX_HEAD_BYTES, () -> head), sent, sent.length()))
                .isEqualTo(expected);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc",
                "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: xchunked\r\n\r\nabc",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
                "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nab",
                "HTTP/1.1 200 OK\nContent-Length: 2\n\nab",
                "HTTP/1.1 20 OK\r\n\r\n",
                "HTTP/2 200 OK\r\n\r\n",
                "\r\nHTTP/1.1 200 OK\r\n\r\n",
                "SSH-2.0-x\r\n\r\n"
            })
    void acceptsNoResponseOutsideTheGrammar(String sent) {
        assertThatThrownBy(() -> read(MessageReader.ofResponses(MAX_HEAD_BYTES, () -> false), sent, sent.length()))
                .isInstanceOf(MalformedMessageException.class);
    }

    @Test
    void findsTheBodiesOfManyRequestsInRandomPieces() throws Exception {
        for (int seed = 0; seed < 300; seed++) {
            Random random = new Random(seed);
            StringBuilder sent = new StringBuilder();
            List<String> expected = new ArrayList<>();
            for (int i = 0; i < 20; i++) {
                String body = randomBody(random);
                expected.add(body);
                sent.append(random.nextBoolean() ? withLength(body) : inChunks(body, random));
            }
            MessageReader reader = MessageReader.ofRequests(MAX_HEAD_BYTES);
            Messages found = new Messages();
            for (int at = 0; at < sent.length(); ) {
                int end = Math.min(sent.length(), at + 1 + random.nextInt(1 << random.nextInt(16)));
                found.take(reader, sent.substring(at, end));
                at = end;
            }
            assertThat(bodies(found.all())).as("seed " + seed).isEqualTo(expected);
            assertThat(reader.bufferedBytes()).isZero();
        }
    }

    private static String randomBody(Random random) {
        StringBuilder body = new StringBuilder();
        int length = random.nextInt(1 << random.nextInt(17));
        while (body.length() < length) {
            body.append(random.nextInt(9) == 0 ? GET : "0\r\n\r\n");
        }
        return body.substring(0, length);
    }

    private static String withLength(String body) {
        return POST + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    private static String inChunks(String body, Random random) {
        StringBuilder sent = new StringBuilder(POST + "Transfer-Encoding: chunked\r\n\r\n");
        for (int at = 0; at < body.length(); ) {
            int end = Math.min(body.length(), at + 1 + random.nextInt(1 << random.nextInt(16)));
            sent.append(Integer.toHexString(end - at)).append("\r\n");
            sent.append(body, at, end).append("\r\n");
            at = end;
        }
        return sent.append("0\r\n\r\n").toString();
    }

    /** Returns the bodies of rewritten requests. */
    private static List<String> bodies(List<String> messages) {
        return messages.stream().map(MessageReaderTest::body).toList();
    }

    private static String body(String message) {
        int start = message.indexOf("\r\n\r\n") + 4;
        if (!message.substring(0, start).contains("chunked")) {
            return message.substring(start);
        }
        StringBuilder body = new StringBuilder();
        while (true) {
            int line = message.indexOf("\r\n", start);
            int length = Integer.parseInt(message.substring(start, line), 16);
            if (length == 0) {
                return body.toString();
            }
            body.append(message, line + 2, line + 2 + length);
            start = line + 2 + length + 2;
        }
    }

    private static List<String> readRequests(String sent, int pieceBytes) throws MalformedMessageException {
        return read(MessageReader.ofRequests(MAX_HEAD_BYTES), sent, pieceBytes);
    }

    private static List<String> read(MessageReader reader, String sent, int pieceBytes)
            throws MalformedMessageException {
        Messages messages = new Messages();
        for (int at = 0; at < sent.length(); at += pieceBytes) {
            messages.take(reader, sent.substring(at, Math.min(sent.length(), at + pieceBytes)));
        }
        return messages.all();
    }

    /** Joins parts to messages. */
    private static final class Messages {
        private final List<String> whole = new ArrayList<>();
        private final ByteArrayOutputStream open = new ByteArrayOutputStream();

        void take(MessageReader reader, String piece) throws MalformedMessageException {
            reader.append(ByteBuffer.wrap(piece.getBytes(StandardCharsets.ISO_8859_1)));
            for (Optional<MessagePart> part = reader.next(); part.isPresent(); part = reader.next()) {
                open.writeBytes(part.get().bytes());
                if (part.get().last()) {
                    whole.add(open.toString(StandardCharsets.ISO_8859_1));
                    open.reset();
                }
            }
        }

        List<String> all() {
            List<String> all = new ArrayList<>(whole);
            if (open.size() > 0) {
                all.add(open.toString(StandardCharsets.ISO_8859_1));
            }
            return all;
        }
    }
}
