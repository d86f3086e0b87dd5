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
 * Whether this node is the leader, and the leased key that proves it. The monotonic clock may stand still while the
 * process is paused, but the wall clock advances. The leader therefore acts only while the offset between the two
 * clocks is the same as when the lease was last renewed.
 *
 * @param lease the key that the leader renews; empty while another node is leader
 * @param absentMs the time since which no leader is known, in milliseconds; negative while there is one
 * @param heldMs the time since which this node has held the key, in milliseconds; negative while it does not
 * @param askedOffsetMs the wall clock minus the monotonic clock when the call in progress was made, in milliseconds
 * @param provenOffsetMs the same difference when the last call that renewed the lease was made, in milliseconds
 */
record Leadership(Optional<LeasedKey> lease, long absentMs, long heldMs, long askedOffsetMs, long provenOffsetMs) {
    static final String KEY = "duty/holder";
    static final Leadership NONE = new Leadership(Optional.empty(), -1, -1, 0, 0);

    /** Delay between the attempts of successive candidates, so that usually only one of them tries. */
    private static final long CANDIDATE_DELAY_MS = 150;

    /** A larger change of the clock offset between two renewals means that the process was paused. */
    private static final long MAX_CLOCK_DRIFT_MS = 150;

    /** Remaining lease time that a call needs to reach the platform. */
    private static final long CALL_MARGIN_MS = 600;

    Leadership {
        requireNonNull(lease, "lease");
    }

    /** Returns whether the node is the leader. Calls of an earlier leader may still be in transit. */
    boolean isLeader(View view) {
        boolean held = lease.filter(k -> k.isHeld(view.nowMs(), CALL_MARGIN_MS)).isPresent();
        boolean clocksAgree = Math.abs(view.wallMs() - view.nowMs() - provenOffsetMs) < MAX_CLOCK_DRIFT_MS;
        return held && clocksAgree;
    }

    /** Returns the time for which the node has held the key, in milliseconds. */
    long heldForMs(View view) {
        return view.nowMs() - heldMs;
    }

    long fencingToken() {
        return lease.map(LeasedKey::revision).orElse(0L);
    }

    Update<Leadership> onTick(View view, Optional<PlatformEvent.Entry> entry, String ownValue, long leaseMs) {
        long now = view.nowMs();
        if (lease.isPresent()) {
            LeasedKey key = entry.filter(e -> e.value().filter(ownValue::equals).isPresent())
                    .map(e -> lease.get().withObservedWrite(e.revision()))
                    .orElse(lease.get());
            boolean takenOver = entry.isPresent()
                    && entry.get().value().filter(ownValue::equals).isEmpty();
            if (takenOver) {
                return withoutLease(entry.get().value().orElse("another node"));
            }
            return withKeyUpdate(view, key.onTick(now));
        }
        Optional<PlatformEvent.Entry> own =
                entry.filter(e -> e.value().filter(ownValue::equals).isPresent());
        if (own.isPresent()) {
            LeasedKey again = LeasedKey.replacing(KEY, ownValue, own.get().revision(), leaseMs);
            return new Leadership(Optional.of(again), -1, -1, 0, 0).onTick(view, entry, ownValue, leaseMs);
        }
        if (entry.isPresent()) {
            return new Update<>(new Leadership(lease, -1, -1, askedOffsetMs, provenOffsetMs), List.of());
        }
        long absentSince = absentMs < 0 ? now : absentMs;
        if (now < absentSince + CANDIDATE_DELAY_MS * candidateRank(view)) {
            return new Update<>(new Leadership(lease, absentSince, -1, askedOffsetMs, provenOffsetMs), List.of());
        }
        return new Leadership(Optional.of(LeasedKey.of(KEY, ownValue, true, leaseMs)), absentSince, -1, 0, 0)
                .onTick(view, entry, ownValue, leaseMs);
    }

    Update<Leadership> onPlatformEvent(View view, PlatformEvent event) {
        if (lease.isEmpty()) {
            return new Update<>(this, List.of());
        }
        LeasedKey.Update update = lease.get().onPlatformEvent(view.nowMs(), event);
        boolean conflict = event instanceof PlatformEvent.Conflicted
                && update.next().lease().isEmpty()
                && lease.get().lease().isPresent();
        return conflict ? withoutLease("another node") : withKeyUpdate(view, update);
    }

    private Update<Leadership> withKeyUpdate(View view, LeasedKey.Update update) {
        LeasedKey before = lease.get();
        LeasedKey after = update.next();
        long offset = view.wallMs() - view.nowMs();
        boolean renewed = after.provenMs() != before.provenMs();
        boolean callMade = !after.call().equals(before.call()) && after.call().isPresent();
        boolean holds = after.revision() > 0;
        long held = holds ? heldMs >= 0 ? heldMs : view.nowMs() : -1;
        Leadership next = new Leadership(
                Optional.of(after),
                -1,
                held,
                callMade ? offset : askedOffsetMs,
                renewed ? askedOffsetMs : provenOffsetMs);
        List<Effect> out = new ArrayList<>(update.effects());
        if (holds && heldMs < 0) {
            out.add(new Effect.Log(EventCode.DUTY_TAKEN, "fencing token " + after.revision()));
        } else if (!holds && heldMs >= 0) {
            out.add(new Effect.Log(EventCode.DUTY_LOST, "lease expired"));
        }
        return new Update<>(next, out);
    }

    private Update<Leadership> withoutLease(String leader) {
        List<Effect> out = heldMs >= 0 ? List.of(new Effect.Log(EventCode.DUTY_LOST, "held by " + leader)) : List.of();
        return new Update<>(new Leadership(Optional.empty(), -1, -1, 0, 0), out);
    }

    private static int candidateRank(View view) {
        List<NodeId> nodes = new ArrayList<>(view.peers().alive().keySet());
        nodes.add(view.self().id());
        return Rendezvous.rank(KEY, nodes, NodeId::value).indexOf(view.self().id());
    }
}
