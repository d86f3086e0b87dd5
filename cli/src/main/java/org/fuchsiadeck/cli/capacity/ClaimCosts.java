package org.fuchsiadeck.cli.capacity;

import java.util.ArrayList;
import java.util.List;

import org.fuchsiadeck.core.Effect;
import org.fuchsiadeck.core.claim.ClaimEvent;
import org.fuchsiadeck.core.claim.ClaimId;
import org.fuchsiadeck.core.claim.ClaimMessage;
import org.fuchsiadeck.core.claim.ClaimStatus;
import org.fuchsiadeck.core.model.RequestId;

/**
 * What an idempotency key costs the node that asks for it and each of its owners.
 */
final class ClaimCosts {
    private static final List<Integer> ROSTERS = List.of(8, 16, 32, 370);
    private static final List<Integer> HELD = List.of(100, 1_000, 10_000, 40_000);
    private static final int USUAL_ROSTER = 16;
    private static final int MOST = 10_000;
    private static final int MOST_ROUNDS = 200;
    private static final int ROUND_MS = 1_000;
    private static final int ROUNDS_PER_EXPIRY = 10;

    private ClaimCosts() {}

    static List<Point> all() {
        List<Point> out = new ArrayList<>();
        for (int roster : ROSTERS) {
            out.addAll(Meter.cost("claim.requester", "roster members", roster, MOST, () -> requester(roster)));
            out.addAll(Meter.cost("claim.owner", "roster members", roster, MOST, () -> owner(roster)));
        }
        for (int held : HELD) {
            out.addAll(Meter.cost("claim.ten_rounds", "claims held", held, MOST_ROUNDS, () -> rounds(held)));
        }
        return out;
    }

    /** A key from wanting it to the owners' last acknowledgement. */
    private static Meter.Work requester(int roster) {
        ModelNode node = new ModelNode(roster).roster(roster);
        return i -> {
            RequestId id = new RequestId("request-" + i);
            String key = key(i);
            for (Effect.Send s : sends(node.take(new ClaimEvent.Wanted(id, key)))) {
                ClaimMessage.Request request = (ClaimMessage.Request) s.message();
                node.receive(
                        s.to(),
                        new ClaimMessage.Reply(request.id(), ClaimMessage.Verdict.GRANTED, ModelNode.rosterRevision()));
            }
            ClaimEvent.Settled settled = new ClaimEvent.Settled(id, key, ClaimEvent.Settlement.ANSWERED);
            for (Effect.Send s : sends(node.take(settled))) {
                node.receive(s.to(), new ClaimMessage.SettleAck(((ClaimMessage.Settle) s.message()).id()));
            }
        };
    }

    private static List<Effect.Send> sends(List<Effect> effects) {
        List<Effect.Send> sends = ModelNode.of(effects, Effect.Send.class);
        if (sends.isEmpty()) {
            throw new IllegalStateException("nothing was sent to owners: " + effects);
        }
        return sends;
    }

    private static Meter.Work owner(int roster) {
        ModelNode node = new ModelNode(roster).ownRoster(roster);
        return i -> own(node, i);
    }

    /** A claim and its settlement at one owner. */
    private static void own(ModelNode node, int number) {
        ClaimId id = new ClaimId(Samples.node(1), number);
        var effects = node.receive(1, new ClaimMessage.Request(id, key(number), ModelNode.rosterRevision()));
        boolean granted = sends(effects).stream()
                .anyMatch(s ->
                        s.message() instanceof ClaimMessage.Reply r && r.verdict() == ClaimMessage.Verdict.GRANTED);
        if (!granted) {
            throw new IllegalStateException("a claim was not granted: " + effects);
        }
        node.receive(1, new ClaimMessage.Settle(id, key(number), ClaimStatus.ANSWERED));
    }

    /** Makes an owner that holds so many settled claims. */
    static ModelNode holding(int claims) {
        ModelNode node = new ModelNode(USUAL_ROSTER).ownRoster(USUAL_ROSTER);
        for (int i = 0; i < claims; i++) {
            own(node, i);
        }
        return node;
    }

    private static Meter.Work rounds(int held) {
        ModelNode node = holding(held);
        return i -> {
            for (int round = 0; round < ROUNDS_PER_EXPIRY; round++) {
                node.advance(ROUND_MS / MOST_ROUNDS);
                node.take(new ClaimEvent.Ticked());
            }
        };
    }

    static String key(int number) {
        return "ward-%05d/route-0/7c9e6679-7425-40de-944b-%012d".formatted(number % 5, number);
    }
}
