package review6;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what happened, with the time since the start in seconds. */
final class Record {
    private final PrintWriter out;
    private final long start = System.nanoTime();

    Record(Path file) {
        try {
            out = new PrintWriter(file.toFile(), "UTF-8");
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    synchronized void line(String text) {
        out.printf(Locale.ROOT, "%8.3f  %s%n", (System.nanoTime() - start) / 1e9, text);
        out.flush();
    }

    /** What a thread of a stand-in does. */
    interface Work {
        void run() throws Exception;
    }

    static Thread daemon(Work work) {
        Thread thread = new Thread(() -> {
            try {
                work.run();
            } catch (InterruptedException | IOException e) {
                return;
            } catch (Exception e) {
                e.printStackTrace();
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
