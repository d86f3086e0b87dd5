package org.fuchsiadeck.scenarios;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.fuchsiadeck.scenarios.Caller.Answer;
import org.fuchsiadeck.scenarios.Caller.Streamed;

/** What the steps of one scenario share. Nodes are counted from 1, as in the scenarios' text. */
final class World implements AutoCloseable {
    static final String TEAM = "ward-12";
    static final String NOTICE = "/assistant/notice";

    private static final ThreadLocal<World> CURRENT = new ThreadLocal<>();

    final Deployment deployment;
    final Entries entries = new Entries();
    final List<CompletableFuture<Answer>> pending = new ArrayList<>();
    final List<CompletableFuture<Streamed>> streams = new ArrayList<>();

    private final List<Caller> callers = new ArrayList<>();
    private final List<Teachers> teachers = new ArrayList<>();

    private World(Deployment deployment) {
        this.deployment = deployment;
    }

    static World start(Deployment deployment) {
        World world = new World(deployment);
        CURRENT.set(world);
        return world;
    }

    static World current() {
        return CURRENT.get();
    }

    static void end() {
        if (CURRENT.get() != null) {
            try (World ending = CURRENT.get()) {
                CURRENT.remove();
                ending.teachers.forEach(Teachers::stop);
                ending.entries.check(ending.deployment.runs());
            }
        }
    }

    Caller caller(int node) {
        while (callers.size() < deployment.nodes().size()) {
            callers.add(deployment.caller(callers.size(), TEAM));
        }
        return callers.get(node - 1);
    }

    NodeProcess node(int node) {
        return deployment.nodes().get(node - 1);
    }

    /** Sends an entry, with its name as the key. */
    CompletableFuture<Answer> enter(int node, String entry) {
        CompletableFuture<Answer> answer =
                caller(node).enterLater(entry, Optional.of(entry)).thenApply(a -> entries.add(entry, a));
        pending.add(answer);
        return answer;
    }

    Teachers teachers(int count, int each) {
        Teachers group = new Teachers(this, count, each);
        teachers.add(group);
        return group;
    }

    int runsOf(String entry) {
        return deployment.runs().getOrDefault(entry, 0);
    }

    @Override
    public void close() {
        deployment.close();
    }
}
