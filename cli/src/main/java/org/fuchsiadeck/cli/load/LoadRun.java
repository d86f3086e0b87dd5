package org.fuchsiadeck.cli.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.LongConsumer;
import java.util.function.Supplier;

import org.HdrHistogram.ConcurrentHistogram;
import org.fuchsiadeck.core.model.Address;

/**
 * Sends planned requests at their times, whether or not earlier ones were answered, and waits for the answers.
 */
final class LoadRun {
    private static final long NS_PER_US = 1_000;
    private static final long NS_PER_S = 1_000_000_000;
    private static final long REQUEST_LIMIT_S = 65;
    private static final long CHECK_MS = 100;
    private static final long DRAIN_LIMIT_S = 70;
    private static final long LEAD_NS = 200_000_000;
    private static final int DIGITS = 3;

    private final Experiment experiment;
    private final Payloads payloads;
    private final Supplier<Address> targets;
    private final CallerClient client;
    private final ConcurrentLinkedQueue<Result> results = new ConcurrentLinkedQueue<>();
    private final Map<PendingAnswer, Long> pending = new ConcurrentHashMap<>();
    private final ConcurrentHistogram gapsUs = new ConcurrentHistogram(DIGITS);
    private long latestNs;

    /**
     * Makes a run.
     *
     * @param experiment the experiment
     * @param payloads makes the requests
     * @param targets gives the entry node for each request
     * @param client sends them
     */
    LoadRun(Experiment experiment, Payloads payloads, Supplier<Address> targets, CallerClient client) {
        this.experiment = experiment;
        this.payloads = payloads;
        this.targets = targets;
        this.client = client;
    }

    /**
     * Runs to the end.
     *
     * @param plan the requests by time
     * @param started runs when the time begins
     * @return what was seen
     * @throws InterruptedException if the thread is interrupted
     */
    Observed run(List<Planned> plan, Runnable started) throws InterruptedException {
        ScheduledExecutorService watch = Executors.newSingleThreadScheduledExecutor();
        try {
            watch.scheduleAtFixedRate(this::giveUpLate, CHECK_MS, CHECK_MS, TimeUnit.MILLISECONDS);
            long startNs = System.nanoTime() + LEAD_NS;
            started.run();
            for (Planned planned : plan) {
                send(planned, startNs + planned.atNs());
            }
            drain(plan.size());
        } finally {
            watch.shutdownNow();
        }
        return new Observed(new ArrayList<>(results), gapsUs, latestNs);
    }

    private void send(Planned planned, long atNs) {
        RequestMix kind = planned.request();
        String prompt = kind.streamed() ? payloads.prompt(planned) : "";
        TokenCheck check = kind.streamed() ? new TokenCheck(experiment.versions(), prompt, kind.maxTokens()) : null;
        boolean measured = planned.atNs() >= experiment.warmupS() * NS_PER_S;
        LongConsumer gaps = measured ? g -> gapsUs.recordValue(g / NS_PER_US) : g -> {};
        Sample sample = new Sample(planned, payloads.id(planned), atNs, check, gaps, results::add);
        CallerRequest request = payloads.build(planned, targets.get(), prompt);
        await(atNs);
        PendingAnswer call = client.send(request, sample);
        pending.put(call, atNs);
    }

    private void await(long atNs) {
        long left = atNs - System.nanoTime();
        while (left > 0) {
            LockSupport.parkNanos(left);
            left = atNs - System.nanoTime();
        }
        latestNs = Math.max(latestNs, -left);
    }

    private void giveUpLate() {
        long now = System.nanoTime();
        pending.forEach((call, sinceNs) -> {
            if (call.hasEnded()) {
                pending.remove(call);
            } else if (now - sinceNs > REQUEST_LIMIT_S * NS_PER_S) {
                call.giveUp("no whole answer within " + REQUEST_LIMIT_S + " s");
            }
        });
    }

    private void drain(int sent) throws InterruptedException {
        long end = System.nanoTime() + DRAIN_LIMIT_S * NS_PER_S;
        while (results.size() < sent && System.nanoTime() < end) {
            Thread.sleep(CHECK_MS);
        }
    }

    /**
     * What a run saw.
     *
     * @param results what came of each request
     * @param gapsUs times between tokens, in microseconds
     * @param latestNs how much later than intended a request was sent at most, in nanoseconds
     */
    record Observed(List<Result> results, ConcurrentHistogram gapsUs, long latestNs) {}
}
