package org.fuchsiadeck.cli.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;

import org.HdrHistogram.ConcurrentHistogram;
import org.fuchsiadeck.core.model.Address;

/**
 * Measures what a node adds to the time of plain requests, and how many streamed tokens it passes on. The ways direct
 * and through the node take turns.
 */
final class RelayBench {
    private static final int ROUNDS = 8;
    private static final int WARMUP_ROUNDS = 3;
    private static final long ROUND_NS = TimeUnit.SECONDS.toNanos(2);
    private static final int STREAM_ROUNDS = 2;
    private static final long STREAM_ROUND_NS = TimeUnit.SECONDS.toNanos(5);
    static final int STREAMS = 32;
    private static final int STREAM_TOKENS = 2_000;
    private static final long ANSWER_LIMIT_S = 30;
    private static final double NS_PER_S = 1e9;
    private static final int DIGITS = 3;
    private static final String READ_PATH = "/registers/g1/entries";
    private static final String STREAM_BODY =
            "{\"model\":\"bangla-assistant\",\"prompt\":\"relay\",\"stream\":true,\"max_tokens\":" + STREAM_TOKENS
                    + "}";

    private final CallerClient client;
    private final List<String> versions;
    private final List<String> failures = new CopyOnWriteArrayList<>();

    RelayBench(CallerClient client, List<String> versions) {
        this.client = client;
        this.versions = versions;
    }

    /** One way to the answers. */
    record Way(Address plain, List<Address> streams, String streamPath) {}

    /** What was measured on one way. */
    record Measured(Quantiles plain, double chunksPerS) {}

    /**
     * Measures both ways.
     *
     * @param direct the stand-ins
     * @param relayed the node
     * @param ratePerS plain requests for each second
     * @return what was measured, in the same order
     * @throws InterruptedException if the thread is interrupted
     */
    List<Measured> run(Way direct, Way relayed, double ratePerS) throws InterruptedException {
        List<Way> ways = List.of(direct, relayed);
        List<ConcurrentHistogram> times =
                ways.stream().map(w -> new ConcurrentHistogram(DIGITS)).toList();
        for (int round = 0; round < WARMUP_ROUNDS + ROUNDS; round++) {
            for (int way = 0; way < ways.size(); way++) {
                ConcurrentHistogram into = round < WARMUP_ROUNDS ? new ConcurrentHistogram(DIGITS) : times.get(way);
                plainRound(ways.get(way), ratePerS, into);
            }
        }
        double[] chunks = new double[ways.size()];
        for (int round = 0; round <= STREAM_ROUNDS; round++) {
            for (int way = 0; way < ways.size(); way++) {
                double perS = streamRound(ways.get(way));
                chunks[way] += round == 0 ? 0 : perS / STREAM_ROUNDS;
            }
        }
        return List.of(
                new Measured(Quantiles.ofMicros(times.get(0)), chunks[0]),
                new Measured(Quantiles.ofMicros(times.get(1)), chunks[1]));
    }

    /** Returns what was not answered right. */
    List<String> failures() {
        return List.copyOf(failures);
    }

    private void plainRound(Way way, double ratePerS, ConcurrentHistogram us) throws InterruptedException {
        int count = (int) (ratePerS * ROUND_NS / NS_PER_S);
        Semaphore ended = new Semaphore(0);
        CallerRequest request = new CallerRequest(way.plain, "GET", READ_PATH, Map.of(), "");
        long startNs = System.nanoTime();
        for (int i = 0; i < count; i++) {
            long atNs = startNs + (long) (i * NS_PER_S / ratePerS);
            await(atNs);
            client.send(request, ending -> {
                us.recordValue(TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - atNs));
                if (Outcome.of(ending, null) != Outcome.ANSWERED) {
                    failures.add("plain request to " + way.plain + ": " + ending.head() + " " + ending.detail());
                }
                ended.release();
            });
        }
        if (!ended.tryAcquire(count, ANSWER_LIMIT_S, TimeUnit.SECONDS)) {
            failures.add((count - ended.availablePermits()) + " plain requests to " + way.plain + " have no end");
        }
    }

    private static void await(long atNs) {
        long left = atNs - System.nanoTime();
        while (left > 0) {
            LockSupport.parkNanos(left);
            left = atNs - System.nanoTime();
        }
    }

    private double streamRound(Way way) throws InterruptedException {
        AtomicLong tokens = new AtomicLong();
        long startNs = System.nanoTime();
        long endNs = startNs + STREAM_ROUND_NS;
        Semaphore ended = new Semaphore(0);
        List<StreamLoop> loops = new ArrayList<>();
        for (int i = 0; i < STREAMS; i++) {
            Address to = way.streams.get(i % way.streams.size());
            CallerRequest request = new CallerRequest(to, "POST", way.streamPath, Map.of(), STREAM_BODY);
            loops.add(new StreamLoop(request, endNs, tokens, ended));
        }
        loops.forEach(StreamLoop::next);
        if (!ended.tryAcquire(STREAMS, ANSWER_LIMIT_S, TimeUnit.SECONDS)) {
            loops.forEach(StreamLoop::giveUp);
        }
        return tokens.get() * NS_PER_S / STREAM_ROUND_NS;
    }

    /** Asks for one stream after another until the end of the round. */
    private final class StreamLoop implements AnswerHandler {
        private final CallerRequest request;
        private final long endNs;
        private final AtomicLong tokens;
        private final Semaphore ended;
        private TokenCheck check;
        private PendingAnswer answer;

        StreamLoop(CallerRequest request, long endNs, AtomicLong tokens, Semaphore ended) {
            this.request = request;
            this.endNs = endNs;
            this.tokens = tokens;
            this.ended = ended;
        }

        void next() {
            check = new TokenCheck(versions, "relay", STREAM_TOKENS);
            answer = client.send(request, this);
        }

        void giveUp() {
            answer.giveUp("no end");
        }

        @Override
        public void event(StreamEvent event) {
            if (event.kind() == StreamEvent.Kind.TOKEN) {
                check.take(event.index(), event.text());
                if (System.nanoTime() < endNs) {
                    tokens.incrementAndGet();
                }
            }
        }

        @Override
        public void ended(Ending ending) {
            if (!check.isWhole()) {
                failures.add("stream from " + request.to() + " after " + check.tokens() + " tokens, "
                        + (check.isRight() ? "right" : "wrong") + ": " + ending.head() + " " + ending.detail());
            }
            if (System.nanoTime() < endNs) {
                next();
            } else {
                ended.release();
            }
        }
    }
}
