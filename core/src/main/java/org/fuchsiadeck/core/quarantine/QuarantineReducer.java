package org.fuchsiadeck.core.quarantine;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import io.vavr.collection.HashSet;
import io.vavr.collection.Set;
import io.vavr.collection.TreeSet;
import io.vavr.collection.Vector;
import org.fuchsiadeck.core.Effect;
import org.fuchsiadeck.core.Event;
import org.fuchsiadeck.core.EventCode;
import org.fuchsiadeck.core.PeerReceived;
import org.fuchsiadeck.core.Reducer;
import org.fuchsiadeck.core.Step;
import org.fuchsiadeck.core.View;
import org.fuchsiadeck.core.membership.MembershipEvent;
import org.fuchsiadeck.core.model.BackendId;
import org.fuchsiadeck.core.model.NodeId;
import org.fuchsiadeck.core.model.Peers;
import org.fuchsiadeck.core.model.Rendezvous;
import org.fuchsiadeck.core.quarantine.QuarantineNews.Answer;
import org.fuchsiadeck.core.quarantine.QuarantineNews.Entry;
import org.fuchsiadeck.core.quarantine.QuarantineNews.LiveServer;
import org.fuchsiadeck.core.quarantine.QuarantineNews.Loss;

/**
 * Collects lost and answered prompts, starts and ends quarantines, and exchanges all that with the other nodes: changes
 * at once by gossip, and everything periodically for nodes that missed a change.
 */
public final class QuarantineReducer implements Reducer<QuarantineState> {
    private static final long TICK_MS = 1_000;
    private static final long TRIAL_TIMEOUT_MS = 10_000;

    /** Number of nodes to which everything is sent on each tick, and number of nodes that send it to a new one. */
    private static final int SYNC_NODES = 2;

    /** Losses are sent to nodes that may have missed them for this long. */
    private static final long SYNC_LOSSES_MS = 10_000;

    /** Number of losses, the latest ones, that are sent to a node that may have missed them. */
    private static final int MAX_SYNC_LOSSES = 64;

    /** Time between messages with news; what is learned meanwhile goes into the next one. */
    private static final long SEND_INTERVAL_MS = 100;

    /** Time between reviews while losses are still to be judged. */
    private static final long REVIEW_INTERVAL_MS = 100;

    @Override
    public Step<QuarantineState> reduce(QuarantineState state, View view, Event event) {
        long now = view.nowMs();
        if (event instanceof QuarantineEvent.Lost lost) {
            return publish(state, withLosses(state, List.of(lost.loss()), now), view);
        }
        if (event instanceof QuarantineEvent.ReviewDue) {
            return onReviewDue(state, view);
        }
        if (event instanceof QuarantineEvent.SendDue) {
            return send(
                    state.with(state.timing().withSending(false, state.timing().sentMs())), view);
        }
        if (event instanceof QuarantineEvent.ServerAnswered answered) {
            LiveServer server = new LiveServer(answered.server(), now - answered.dispatchedMs());
            return onProofs(state, view, new Proofs(List.of(), List.of(server)));
        }
        if (event instanceof QuarantineEvent.Answered answered) {
            List<Answer> answers =
                    answered.parts().stream().map(p -> new Answer(p, 0)).toList();
            return onProofs(state, view, new Proofs(answers, List.of()));
        }
        if (event instanceof QuarantineEvent.TrialStarted trial) {
            Effect log = new Effect.Log(EventCode.PROMPT_PART_TRIED, "", Map.of("parts", trial.parts()));
            return Step.of(state.withTrial(trial.parts(), now + TRIAL_TIMEOUT_MS), log);
        }
        if (event instanceof PeerReceived received && received.message() instanceof QuarantineNews news) {
            return onNews(state, view, received.from(), news);
        }
        if (event instanceof QuarantineEvent.Tick) {
            return onTick(state, view);
        }
        if (event instanceof MembershipEvent.Changed changed) {
            return onPeersChanged(state, view, changed.peers());
        }
        return Step.of(state);
    }

    /** Answers of parts and of servers, which end suspicions. */
    private record Proofs(List<Answer> answers, List<LiveServer> servers) {}

    /**
     * Applies the proofs, and passes on those that end a suspicion. Later times alone are not passed on: each node reads a
     * slightly later time from an age, so that they would circulate without end.
     */
    private static Step<QuarantineState> onProofs(QuarantineState state, View view, Proofs proofs) {
        return publish(state, withProofs(state, view.nowMs(), proofs), view);
    }

    private static QuarantineState withProofs(QuarantineState state, long nowMs, Proofs proofs) {
        Set<String> answers = HashSet.empty();
        Set<BackendId> servers = HashSet.empty();
        QuarantineState next = state;
        for (Answer answer : proofs.answers()) {
            QuarantineState known = next.withAnswer(answer.part(), nowMs - answer.agoMs());
            boolean cleared = next.hasCountedLoss(answer.part()) && !known.hasCountedLoss(answer.part());
            if (cleared || !known.quarantines().equals(next.quarantines())) {
                answers = answers.add(answer.part());
            }
            next = known;
        }
        for (LiveServer server : proofs.servers()) {
            QuarantineState known = next.withServerAnswer(server.server(), nowMs - server.dispatchedAgoMs());
            if (known != next) {
                servers = servers.add(server.server());
            }
            next = known;
        }
        return next.with(next.unsent().and(UnsentNews.ofProofs(answers, servers)));
    }

    private static QuarantineState withLosses(QuarantineState state, List<PromptLoss> losses, long nowMs) {
        Vector<PromptLoss> added = Vector.empty();
        QuarantineState next = state;
        for (PromptLoss loss : losses) {
            boolean known = next.losses().contains(loss);
            next = next.withLoss(loss, nowMs);
            added = !known && next.losses().contains(loss) ? added.append(loss) : added;
        }
        return next.with(next.unsent().and(UnsentNews.ofLosses(added)));
    }

    private static Step<QuarantineState> onNews(QuarantineState state, View view, NodeId from, QuarantineNews news) {
        long now = view.nowMs();
        List<Answer> suspect = news.answers().stream()
                .filter(a -> state.answered().lastMs(a.part()) < now - a.agoMs())
                .toList();
        QuarantineState next = withProofs(state, now, new Proofs(suspect, news.servers()));
        next = withLosses(next, news.losses().stream().map(l -> l.at(now)).toList(), now);
        List<Answer> refuting = new ArrayList<>();
        for (Entry entry : news.quarantines()) {
            Quarantine received = entry.at(now);
            QuarantineState current = next;
            next = received.without(current.answered())
                    .filter(q -> current.quarantines().get(q.parts()).forAll(known -> known.level() < q.level()))
                    .map(current::withQuarantine)
                    .getOrElse(current);
            received.parts()
                    .filter(p -> current.answered().lastMs(p) > received.firstLossMs())
                    .forEach(p -> refuting.add(answer(current, p, now)));
        }
        Step<QuarantineState> published = publish(state, next, view);
        if (refuting.isEmpty()) {
            return published;
        }
        List<Effect> out = new ArrayList<>(published.effects());
        out.add(new Effect.Send(from, new QuarantineNews(List.of(), List.of(), refuting, List.of())));
        return new Step<>(published.state(), out);
    }

    /** Judges the losses, and goes on as long as some of them are too recent. */
    private static Step<QuarantineState> onReviewDue(QuarantineState state, View view) {
        long now = view.nowMs();
        boolean more = now < state.timing().reviewUntilMs();
        QuarantineState next = state.reviewed(now);
        next = next.with(next.timing().withReview(more, next.timing().reviewUntilMs()));
        Step<QuarantineState> published = publish(state, next, view);
        if (!more) {
            return published;
        }
        List<Effect> out = new ArrayList<>(published.effects());
        out.add(new Effect.Schedule(now + REVIEW_INTERVAL_MS, new QuarantineEvent.ReviewDue()));
        return new Step<>(published.state(), out);
    }

    /** Tells the other nodes and the log what has changed, and the other reducers which quarantines have started. */
    private static Step<QuarantineState> publish(QuarantineState before, QuarantineState after, View view) {
        long now = view.nowMs();
        List<Effect> out = new ArrayList<>();
        QuarantineState next = after;
        if (after.quarantines() != before.quarantines()) {
            Vector<Quarantine> started = startedQuarantines(before, after);
            for (Quarantine quarantine : started) {
                out.add(log(EventCode.PROMPT_PART_QUARANTINED, quarantine));
                out.add(new Effect.Raise(new QuarantineEvent.Started(quarantine)));
            }
            next = next.with(next.unsent().and(UnsentNews.ofStarted(started)));
            before.quarantines()
                    .values()
                    .filter(q -> !isCovered(q, after.quarantines().keySet()))
                    .forEach(q -> out.add(log(EventCode.PROMPT_PART_RELEASED, q)));
        }
        if (after.unsent().losses().size() > before.unsent().losses().size()) {
            next = withReview(next, now, out);
        }
        Step<QuarantineState> sent = sendOrWait(next, view);
        out.addAll(sent.effects());
        next = sent.state();
        if (next.isEmpty() || next.timing().ticking()) {
            return new Step<>(next, out);
        }
        out.add(new Effect.Schedule(now + TICK_MS, new QuarantineEvent.Tick()));
        return new Step<>(next.with(next.timing().withTicking(true)), out);
    }

    private static Vector<Quarantine> startedQuarantines(QuarantineState before, QuarantineState after) {
        return after.quarantines()
                .values()
                .filter(q -> before.quarantines().get(q.parts()).forAll(known -> known.level() < q.level()))
                .toVector();
    }

    /** Schedules the next review, so that the losses until now are judged once their servers had time to answer others. */
    private static QuarantineState withReview(QuarantineState state, long nowMs, List<Effect> out) {
        long untilMs = nowMs + CrashRule.CONFIRMATION_MS;
        if (!state.timing().reviewing()) {
            out.add(new Effect.Schedule(untilMs, new QuarantineEvent.ReviewDue()));
        }
        return state.with(state.timing().withReview(true, untilMs));
    }

    /** Sends what is unsent, unless the last message is so recent that it has to wait. */
    private static Step<QuarantineState> sendOrWait(QuarantineState state, View view) {
        QuarantineState.Timing timing = state.timing();
        if (state.unsent().isEmpty() || timing.sending()) {
            return Step.of(state);
        }
        long dueMs = timing.sentMs() + SEND_INTERVAL_MS;
        return view.nowMs() >= dueMs
                ? send(state, view)
                : Step.of(
                        state.with(timing.withSending(true, timing.sentMs())),
                        new Effect.Schedule(dueMs, new QuarantineEvent.SendDue()));
    }

    private static Step<QuarantineState> send(QuarantineState state, View view) {
        long now = view.nowMs();
        QuarantineNews news = state.unsent().message(state, now);
        QuarantineState next = state.with(UnsentNews.NONE).with(state.timing().withSending(false, now));
        String key = view.self().id() + "/quarantine/" + now;
        List<Effect> out = new ArrayList<>();
        if (!news.isEmpty()) {
            view.peers().gossipTargets(key).forEach(peer -> out.add(new Effect.Send(peer, news)));
        }
        return new Step<>(next, out);
    }

    private static boolean isCovered(Quarantine quarantine, Set<TreeSet<String>> others) {
        return others.exists(quarantine.parts()::containsAll);
    }

    private static Step<QuarantineState> onTick(QuarantineState state, View view) {
        Step<QuarantineState> expired = publish(state, state.withoutExpired(view.nowMs()), view);
        QuarantineState next = expired.state();
        if (next.isEmpty()) {
            return new Step<>(next.with(next.timing().withTicking(false)), expired.effects());
        }
        QuarantineNews all = everything(next, view.nowMs());
        String key = view.self().id() + "/quarantines/" + view.nowMs();
        List<Effect> out = new ArrayList<>(expired.effects());
        if (!all.isEmpty()) {
            Rendezvous.rank(key, view.peers().alive().keySet(), NodeId::value).stream()
                    .limit(SYNC_NODES)
                    .forEach(peer -> out.add(new Effect.Send(peer, all)));
        }
        out.add(new Effect.Schedule(view.nowMs() + TICK_MS, new QuarantineEvent.Tick()));
        return new Step<>(next, out);
    }

    private static Step<QuarantineState> onPeersChanged(QuarantineState state, View view, Peers peers) {
        List<Effect> out = new ArrayList<>();
        QuarantineNews all = everything(state, view.nowMs());
        if (!all.isEmpty()) {
            peers.alive().keySet().stream()
                    .filter(p -> !state.peers().alive().containsKey(p) && isSender(view, peers, p))
                    .forEach(p -> out.add(new Effect.Send(p, all)));
        }
        return new Step<>(state.withPeers(peers), out);
    }

    private static boolean isSender(View view, Peers peers, NodeId receiver) {
        List<NodeId> nodes = new ArrayList<>(peers.alive().keySet());
        nodes.remove(receiver);
        nodes.add(view.self().id());
        return Rendezvous.rank(receiver.value(), nodes, NodeId::value).stream()
                .limit(SYNC_NODES)
                .anyMatch(view.self().id()::equals);
    }

    private static QuarantineNews everything(QuarantineState state, long nowMs) {
        Vector<PromptLoss> recent = state.losses()
                .all()
                .filter(l -> l.lostMs() > nowMs - SYNC_LOSSES_MS)
                .toVector()
                .sortBy(l -> -l.lostMs())
                .take(MAX_SYNC_LOSSES);
        List<Answer> answers = recent.flatMap(PromptLoss::parts)
                .distinct()
                .filter(state.answered()::contains)
                .map(p -> answer(state, p, nowMs))
                .toJavaList();
        return new QuarantineNews(
                recent.map(l -> Loss.of(l, nowMs)).toJavaList(),
                state.quarantines().values().map(q -> Entry.of(q, nowMs)).toJavaList(),
                answers,
                List.of());
    }

    private static Answer answer(QuarantineState state, String part, long nowMs) {
        return new Answer(part, nowMs - state.answered().lastMs(part));
    }

    private static Effect log(EventCode code, Quarantine quarantine) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("parts", quarantine.parts().toJavaList());
        fields.put("level", quarantine.level());
        return new Effect.Log(code, "", fields);
    }
}
