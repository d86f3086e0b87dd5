package org.fuchsiadeck.scenarios;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

import org.fuchsiadeck.scenarios.Caller.Answer;

/** Teachers who send entries one after the other, and try again at the next node with the same key. */
final class Teachers {
    private static final int TRIES = 4;

    private final World world;
    private final int each;
    private final ExecutorService threads;
    private final List<CompletableFuture<Void>> days = new ArrayList<>();
    private final AtomicBoolean stopped = new AtomicBoolean();
    private final AtomicInteger accepted = new AtomicInteger();

    /** Starts teachers; each sends at most so many entries. */
    Teachers(World world, int count, int each) {
        this.world = world;
        this.each = each;
        this.threads = Executors.newFixedThreadPool(count);
        int nodes = world.deployment.nodes().size();
        world.caller(nodes);
        for (int i = 0; i < count; i++) {
            int teacher = i;
            days.add(CompletableFuture.runAsync(() -> work(teacher, nodes), threads));
        }
    }

    int accepted() {
        return accepted.get();
    }

    void awaitAccepted(int count) {
        int before = accepted();
        Waiting.until(count + " more entries are accepted", () -> accepted() >= before + count || ended());
        if (accepted() < before + count) {
            throw new AssertionError("only " + (accepted() - before) + " more were accepted");
        }
    }

    void stop() {
        stopped.set(true);
        days.forEach(CompletableFuture::join);
        threads.shutdown();
    }

    private boolean ended() {
        return days.stream().allMatch(CompletableFuture::isDone);
    }

    private void work(int teacher, int nodes) {
        for (int n = 0; n < each && !stopped.get(); n++) {
            enter("t" + teacher + "-" + n, teacher + n, nodes);
        }
    }

    private void enter(String entry, int first, int nodes) {
        for (int i = 0; i < TRIES; i++) {
            int node = (first + i) % nodes + 1;
            Answer answer = world.entries.add(entry, world.caller(node).enter(entry, Optional.of(entry)));
            if (answer.good()) {
                accepted.incrementAndGet();
                return;
            }
        }
    }
}
