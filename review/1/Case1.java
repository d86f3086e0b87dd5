import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Consumers hide a request in the body of another one. A node may answer with a failure; no worker may run the request that
 * is part of a body, or the outer one without its body. Without the disruption the bodies are framed plainly, or in the way
 * that the node is known to refuse.
 */
final class Case1 {
    private static final Path RECORD = Path.of("review/1/record.txt");

    /**
     * How a request is hidden.
     *
     * @param name for the record
     * @param before bytes before the outer request
     * @param fields the framing of the outer request; $N stands for the number of its body's bytes
     * @param hidden where the hidden request lies
     * @param plainFields the framing without the disruption
     */
    private record Form(String name, String before, String fields, Hidden hidden, String plainFields) {}

    /** Where a hidden request lies. */
    private enum Hidden {
        /** In a chunk of a whole body in chunks. */
        IN_CHUNK,
        /** Behind the last chunk, and inside the body by the other length that is given. */
        BEHIND_LAST_CHUNK,
        /** It is the body; without the disruption it is sent in a chunk. */
        WHOLE_BODY
    }

    private static final String TWO = "Content-Length: $N\r\nTransfer-Encoding: chunked\r\n";
    private static final String CHUNKED = "Transfer-Encoding: chunked\r\n";
    private static final String FIRST = Stand.request("GET", "/read/first", "first-$I", "", -1);
    private static final List<Form> FORMS = List.of(
            new Form("two lengths, in the packet of the request before", FIRST, TWO, Hidden.BEHIND_LAST_CHUNK, TWO),
            new Form("coding gzip, chunked", "", "Transfer-Encoding: gzip, chunked\r\n", Hidden.IN_CHUNK, CHUNKED),
            new Form("coding identity, chunked", "", "Transfer-Encoding: identity, chunked\r\n", Hidden.IN_CHUNK, CHUNKED),
            new Form("coding identity", "", "Transfer-Encoding: identity\r\n", Hidden.WHOLE_BODY, CHUNKED),
            new Form("coding xchunked", "", "Transfer-Encoding: xchunked\r\n", Hidden.WHOLE_BODY, CHUNKED));

    public static void main(String... args) throws Exception {
        Stand stand = Stand.begin(RECORD);
        Stand.Platform platform = stand.new Platform();
        platform.put("op/config", Stand.config(1, Stand.route("post", "unsafe", "app", 1, 4000, false),
                Stand.route("read", "safe", "app", 2, 4000, false)), 0);
        Map<String, String> ran = new ConcurrentHashMap<>();
        for (int i = 1; i <= 2; i++) {
            String id = "w-" + i;
            Stand.Server worker = stand.new Server((m, s, in, out) -> {
                String request = m.header("Request-Id");
                if (request == null) {
                    Stand.answer(out, 400, "Not-Executed: 1\r\n", new byte[0]);
                    return;
                }
                ran.put(request, "\"" + m.start + "\" with a body of " + m.body.length + " bytes");
                stand.note("worker %s ran %s: %s", id, request, ran.get(request));
                Stand.answer(out, 200, "Request-Id: " + request + "\r\nResponse-Seal: s\r\n", "done".getBytes());
            });
            platform.put("servers/" + id, Stand.entry("app", worker.address(), false, 6, "ready", 1000), 0);
        }
        List<Stand.Node> nodes = stand.nodes(platform, 2, RECORD);
        int sent = 0;
        int smuggled = 0;
        int changed = 0;
        for (Stand.Node node : nodes) {
            for (Form form : FORMS) {
                sent++;
                String outer = "outer-" + sent;
                String inner = "inner-" + sent;
                String text = Stand.request("POST", "/post/inner", inner, "", 0);
                String body = form.hidden() == Hidden.BEHIND_LAST_CHUNK ? "0\r\n\r\n" + text
                        : form.hidden() == Hidden.WHOLE_BODY && Stand.trouble() ? text
                        : Integer.toHexString(text.length()) + "\r\n" + text + "\r\n0\r\n\r\n";
                boolean plain = form.hidden() != Hidden.BEHIND_LAST_CHUNK;
                String fields = (Stand.trouble() ? form.fields() : form.plainFields())
                        .replace("$N", String.valueOf(body.length()));
                String before = Stand.trouble() ? form.before().replace("$I", String.valueOf(sent)) : "";
                stand.note("consumer sends %s to %s: %s; the body holds %s", outer, node.id,
                        Stand.trouble() ? form.name() : fields.replace("\r\n", " "), inner);
                String request = before + Stand.request("POST", "/post/outer", outer, fields, -1) + body;
                stand.note("answers: %s", exchange(node, request));
                String expected = Stand.trouble() ? inner : outer;
                Stand.await(!Stand.trouble() && plain ? 3_000 : 500, () -> ran.containsKey(expected));
                String run = ran.get(outer);
                if (plain && run != null && !run.endsWith("body of " + text.length() + " bytes")) {
                    changed++;
                    stand.note("UNASKED: %s ran as %s, its body was %d bytes", outer, run, text.length());
                }
                if (ran.containsKey(inner)) {
                    smuggled++;
                    stand.note("UNASKED: %s, part of the body of %s, ran as %s", inner, outer, ran.get(inner));
                }
                if (!Stand.trouble() && plain && run == null) {
                    stand.finish(RECORD, 2, "a plain request was not served");
                }
            }
        }
        stand.note("requests with one hidden inside %d, run with another body %d, hidden requests run %d", sent, changed,
                smuggled);
        boolean broken = smuggled + changed > 0;
        stand.finish(RECORD, broken ? 1 : 0, broken
                ? "UNASKED broken: " + smuggled + " of " + sent + " hidden requests ran, " + changed
                        + " requests ran without their body"
                : "UNASKED held");
    }

    /** Sends the bytes and reads what comes back within half a second. */
    private static String exchange(Stand.Node node, String bytes) {
        StringBuilder answers = new StringBuilder();
        try (Socket s = Stand.connect(node.front(), 500)) {
            s.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
            InputStream in = new BufferedInputStream(s.getInputStream());
            for (Stand.Message m = Stand.head(in); m != null; m = Stand.head(in)) {
                Stand.body(in, m, true);
                answers.append(m.start).append(" [").append(m.header("Request-Id")).append("] ");
            }
        } catch (IOException e) {
            answers.append("then ").append(e.getMessage());
        }
        return answers.toString();
    }
}
