import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Consumers post bodies in chunks. Each body is a text that holds a whole request. With the disruption the header names a
 * transfer coding beside or instead of {@code chunked}. A node may answer with a failure; no worker may run the request that
 * is part of a body, or the outer one without its body.
 */
final class Case1 {
    private static final Path RECORD = Path.of("review/1/record.txt");
    private static final String[] CODINGS = {"gzip, chunked", "identity, chunked", "chunked, identity", "gzip", "xchunked"};

    public static void main(String... args) throws Exception {
        Stand stand = Stand.begin(RECORD);
        Stand.Platform platform = stand.new Platform();
        platform.put("op/config", Stand.config(1, Stand.route("post", "unsafe", "app", 1, 4000, false)), 0);
        Map<String, String> ran = new ConcurrentHashMap<>();
        for (int i = 1; i <= 2; i++) {
            String id = "w-" + i;
            Stand.Server worker = stand.new Server((m, s, in, out) -> {
                String request = m.header("Request-Id");
                if (request == null) {
                    Stand.answer(out, 400, "Not-Executed: 1\r\n", new byte[0]);
                    return;
                }
                ran.put(request, m.start + " with a body of " + m.body.length + " bytes");
                stand.note("worker %s ran %s: %s with a body of %d bytes", id, request, m.start, m.body.length);
                Stand.answer(out, 200, "Request-Id: " + request + "\r\nResponse-Seal: s\r\n", "done".getBytes());
            }, false);
            platform.put("servers/" + id, Stand.entry("app", worker.address(), false, 6, "ready", 1000), 0);
        }
        List<Stand.Node> nodes = stand.nodes(platform, 2, RECORD);
        Set<String> sent = ConcurrentHashMap.newKeySet();
        int smuggled = 0;
        int changed = 0;
        int served = 0;
        int number = 0;
        for (Stand.Node node : nodes) {
            for (String coding : CODINGS) {
                number++;
                String outer = "outer-" + number;
                String inner = "inner-" + number;
                String text = Stand.request("POST", "/post/inner", inner, "", 0);
                String chunks = "0".equals(System.getenv("TROUBLE")) || coding.contains(", chunked")
                        ? Integer.toHexString(text.length()) + "\r\n" + text + "\r\n0\r\n\r\n"
                        : "0\r\n\r\n" + text;
                int length = chunks.startsWith("0") ? 0 : text.length();
                String field = Stand.trouble() ? coding : "chunked";
                sent.add(outer);
                stand.note("consumer sends %s to %s, Transfer-Encoding: %s, text of %d bytes", outer, node.id, field,
                        text.length());
                String request = Stand.request("POST", "/post/outer", outer, "Transfer-Encoding: " + field + "\r\n", -1);
                stand.note("answers: %s", exchange(node, request + chunks));
                Stand.sleep(100);
                String run = ran.get(outer);
                if (run != null) {
                    served++;
                }
                if (run != null && length > 0 && !run.endsWith("body of " + length + " bytes")) {
                    changed++;
                    stand.note("UNASKED: %s ran as %s, its body was %d bytes", outer, run, length);
                }
                if (ran.containsKey(inner)) {
                    smuggled++;
                    stand.note("UNASKED: %s, part of the body of %s, ran as %s", inner, outer, ran.get(inner));
                }
            }
        }
        stand.note("requests sent %d, run %d, run with another body %d, smuggled requests run %d", sent.size(), served,
                changed, smuggled);
        if (!Stand.trouble() && served < sent.size()) {
            stand.finish(RECORD, 2, "requests without the disruption were not served");
        }
        boolean broken = smuggled + changed > 0;
        stand.finish(RECORD, broken ? 1 : 0, broken
                ? "UNASKED broken: " + smuggled + " smuggled requests ran, " + changed + " ran without their body"
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
