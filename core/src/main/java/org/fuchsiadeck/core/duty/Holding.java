package org.fuchsiadeck.core.duty;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.fuchsiadeck.core.Effect;
import org.fuchsiadeck.core.EventCode;
import org.fuchsiadeck.core.View;
import org.fuchsiadeck.core.model.NodeId;
import org.fuchsiadeck.core.model.Rendezvous;
import org.fuchsiadeck.core.platform.LeasedKey;
import org.fuchsiadeck.core.platform.PlatformEvent;

import static java.util.Objects.requireNonNull;

/**
 * Whether this node holds the duties. A pause of the process does not show on its monotonic clock, but the time of day
 * moves on; so the holder acts only while the two clocks agree as they did when the lease was last renewed.
 *
 * @param lease the key that the holder keeps; empty while another node holds it
 * @param absentMs since when no holder is known, in milliseconds; negative while there is one
 * @param heldMs since when this node has held the key, in milliseconds; negative while it does not
 * @param askedOffsetMs the time of day less the monotonic clock when the call in progress was made, in milliseconds
 * @param provenOffsetMs the same when the last call that renewed the lease was made, in milliseconds
 */
record Holding(Optional<LeasedKey> lease, long absentMs, long heldMs, long askedOffsetMs, long provenOffsetMs) {
    static final String KEY = "duty/holder";
    static final Holding NONE = new Holding(Optional.empty(), -1, -1, 0, 0);

    /** Nodes try for the duties one after the other, this far apart, so that mostly one does. */
    private static final long TURN_MS = 150;

    /** Clocks that drift apart by more than this, between two renewals, say that the process stood still. */
    private static final long MAX_DRIFT_MS = 150;

    /** A call has to reach the platform before the lease can end. */
    private static final long MARGIN_MS = 600;

    Holding {
        requireNonNull(lease, "lease");
    }

    /** Tells whether the node holds the duties; an earlier holder's calls may still be on their way. */
    boolean holds(View view) {
        boolean held = lease.filter(k -> k.isHeld(view.nowMs(), MARGIN_MS)).isPresent();
        boolean awake = Math.abs(view.wallMs() - view.nowMs() - provenOffsetMs) < MAX_DRIFT_MS;
        return held && awake;
    }

    /** For how long the node has held the duties, in milliseconds. */
    long since(View view) {
        return view.nowMs() - heldMs;
    }

    long fence() {
        return lease.map(LeasedKey::revision).orElse(0L);
    }

    Update<Holding> tick(View view, Optional<PlatformEvent.Entry> entry, String mine, long leaseMs) {
        long now = view.nowMs();
        if (lease.isPresent()) {
            LeasedKey key = entry.filter(e -> e.value().filter(mine::equals).isPresent())
                    .map(e -> lease.get().withObservedWrite(e.revision()))
                    .orElse(lease.get());
            boolean taken = entry.isPresent()
                    && entry.get().value().filter(mine::equals).isEmpty();
            if (taken) {
                return lost(entry.get().value().orElse("another node"));
            }
            return called(view, key.onTick(now));
        }
        if (entry.isPresent()) {
            return new Update<>(new Holding(lease, -1, -1, askedOffsetMs, provenOffsetMs), List.of());
        }
        long since = absentMs < 0 ? now : absentMs;
        if (now < since + TURN_MS * turn(view)) {
            return new Update<>(new Holding(lease, since, -1, askedOffsetMs, provenOffsetMs), List.of());
        }
        return new Holding(Optional.of(LeasedKey.of(KEY, mine, true, leaseMs)), since, -1, 0, 0)
                .tick(view, entry, mine, leaseMs);
    }

    Update<Holding> returned(View view, PlatformEvent event) {
        if (lease.isEmpty()) {
            return new Update<>(this, List.of());
        }
        LeasedKey.Update update = lease.get().onPlatformEvent(view.nowMs(), event);
        boolean conflict = event instanceof PlatformEvent.Conflicted
                && update.next().lease().isEmpty()
                && lease.get().lease().isPresent();
        return conflict ? lost("another node") : called(view, update);
    }

    private Update<Holding> called(View view, LeasedKey.Update update) {
        LeasedKey before = lease.get();
        LeasedKey after = update.next();
        long offset = view.wallMs() - view.nowMs();
        boolean proven = after.provenMs() != before.provenMs();
        boolean asked = !after.call().equals(before.call()) && after.call().isPresent();
        boolean holds = after.revision() > 0;
        long held = holds ? heldMs >= 0 ? heldMs : view.nowMs() : -1;
        Holding next = new Holding(
                Optional.of(after), -1, held, asked ? offset : askedOffsetMs, proven ? askedOffsetMs : provenOffsetMs);
        List<Effect> out = new ArrayList<>(update.effects());
        if (holds && heldMs < 0) {
            out.add(new Effect.Log(EventCode.DUTY_TAKEN, "fence " + after.revision()));
        } else if (!holds && heldMs >= 0) {
            out.add(new Effect.Log(EventCode.DUTY_LOST, "the lease ended"));
        }
        return new Update<>(next, out);
    }

    private Update<Holding> lost(String to) {
        List<Effect> out = heldMs >= 0 ? List.of(new Effect.Log(EventCode.DUTY_LOST, "held by " + to)) : List.of();
        return new Update<>(new Holding(Optional.empty(), -1, -1, 0, 0), out);
    }

    private static int turn(View view) {
        List<NodeId> nodes = new ArrayList<>(view.peers().alive().keySet());
        nodes.add(view.self().id());
        return Rendezvous.rank(KEY, nodes, NodeId::value).indexOf(view.self().id());
    }
}
