package org.fuchsiadeck.core.claim;

import java.util.List;

import io.vavr.collection.TreeMap;
import io.vavr.collection.Vector;
import org.fuchsiadeck.core.Effect;
import org.fuchsiadeck.core.Event;
import org.fuchsiadeck.core.Identity;
import org.fuchsiadeck.core.PeerReceived;
import org.fuchsiadeck.core.Step;
import org.fuchsiadeck.core.View;
import org.fuchsiadeck.core.claim.ClaimMessage.HeldClaim;
import org.fuchsiadeck.core.claim.ClaimMessage.Pull;
import org.fuchsiadeck.core.claim.ClaimMessage.PullReply;
import org.fuchsiadeck.core.claim.ClaimMessage.Reply;
import org.fuchsiadeck.core.claim.ClaimMessage.Request;
import org.fuchsiadeck.core.claim.ClaimMessage.RosterNews;
import org.fuchsiadeck.core.claim.ClaimMessage.Verdict;
import org.fuchsiadeck.core.config.Configuration;
import org.fuchsiadeck.core.config.Policy;
import org.fuchsiadeck.core.model.Address;
import org.fuchsiadeck.core.model.NodeId;
import org.fuchsiadeck.core.model.Peers;
import org.fuchsiadeck.core.model.Peers.Peer;
import org.fuchsiadeck.core.model.RequestId;
import org.fuchsiadeck.core.model.VersionShares;
import org.fuchsiadeck.core.model.Zone;
import org.fuchsiadeck.core.request.RequestEvent;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against grants under rosters that are no longer current: verdicts processed too late, requests under rosters
 * whose claims were already transferred, and earlier rosters dropped while claims granted under them may still be
 * active.
 */
class ClaimReducerTest {
    private static final Identity SELF = new Identity(id("a"), new Zone("z0"), new Address("127.0.0.1", 1), 1);
    private static final long LIFETIME_MS = Policy.DEFAULT.claimLifetimeMs();
    private static final RosterChain CHAIN =
            new RosterChain(9, Vector.of(roster(0, "a", "b", "c", "d", "e"), roster(7, "a", "b", "c")));

    private final ClaimReducer reducer = new ClaimReducer();
    private ClaimState state = ClaimState.initial();

    @Test
    void ignoresGrantsProcessedAfterTheDeadline() {
        reduce(0, rosterUpdate());
        reduce(0, new ClaimEvent.Wanted(new RequestId("r"), "key"));
        for (String owner : List.of("b", "c", "d", "e")) {
            Event reply = new PeerReceived(id(owner), new Reply(new ClaimId(id("a"), 1), Verdict.GRANTED, 9));
            assertThat(reduce(Requester.TIMEOUT_MS, reply))
                    .doesNotContain(new Effect.Raise(new RequestEvent.ClaimGranted(new RequestId("r"))));
        }
    }

    @Test
    void refusesOlderRostersAfterItsClaimsWerePulled() {
        RosterChain older = new RosterChain(5, Vector.of(CHAIN.rosters().head()));
        reduce(0, new PeerReceived(id("b"), new RosterNews(older)));
        state = state.with(state.contacts().withConfirmation(id("b"), 0).withConfirmation(id("c"), 0));
        ClaimId first = new ClaimId(id("b"), 1);
        ClaimId second = new ClaimId(id("b"), 2);
        assertThat(reduce(1, new PeerReceived(id("b"), new Request(first, "early", 5))))
                .contains(new Effect.Send(id("b"), new Reply(first, Verdict.GRANTED, 5)));
        reduce(2, new PeerReceived(id("c"), new Pull(CHAIN, "")));
        assertThat(reduce(3, new PeerReceived(id("b"), new Request(second, "late", 5))))
                .contains(new Effect.Send(id("b"), new Reply(second, Verdict.STALE, 9)));
    }

    @Test
    void returnsClaimsThatFollowManyExpiredOnes() {
        ClaimId expired = new ClaimId(id("x"), 1);
        ClaimId live = new ClaimId(id("x"), 2);
        for (int i = 0; i < 1_000; i++) {
            state = state.with(state.ledger().add("key" + i, new Claim(expired, ClaimStatus.PENDING, 0, 10)));
        }
        state = state.with(state.ledger().add("last", new Claim(live, ClaimStatus.ANSWERED, 0, 100)));
        Event pull = new PeerReceived(id("b"), new Pull(CHAIN, ""));
        HeldClaim held = new HeldClaim("last", live, ClaimStatus.ANSWERED, 50, 50);
        assertThat(reduce(50, pull)).contains(new Effect.Send(id("b"), new PullReply(7, "", List.of(held), true, 9)));
    }

    @Test
    void keepsAnEarlierRosterWhileMostOfItsMembersMayGrantByIt() {
        reduce(0, rosterUpdate());
        state = state.with(state.contacts().withRevision(id("b"), 9));
        assertThat(rostersAfter(100 * LIFETIME_MS)).isEqualTo(CHAIN.rosters());
    }

    @Test
    void dropsAnEarlierRosterAfterEveryClaimGrantedByItHasExpired() {
        reduce(0, rosterUpdate());
        state = state.with(state.contacts().withRevision(id("b"), 9).withRevision(id("c"), 9));
        assertThat(rostersAfter(LIFETIME_MS + PeerRevisions.CONFIRMATION_TTL_MS))
                .isEqualTo(CHAIN.rosters());
        assertThat(rostersAfter(2 * LIFETIME_MS)).isEqualTo(Vector.of(CHAIN.newest()));
    }

    private Vector<Roster> rostersAfter(long nowMs) {
        ClaimContext first = new ClaimContext(state, view(0));
        RosterPlan.updateFenced(first);
        ClaimContext later = new ClaimContext(first.state, view(nowMs));
        RosterPlan.updateFenced(later);
        return RosterPlan.plan(later);
    }

    private List<Effect> reduce(long nowMs, Event event) {
        Step<ClaimState> step = reducer.reduce(state, view(nowMs), event);
        state = step.state();
        return step.effects();
    }

    private static View view(long nowMs) {
        java.util.TreeMap<NodeId, Peer> peers = new java.util.TreeMap<>();
        CHAIN.newest().members().values().filter(p -> !p.id().equals(id("a"))).forEach(p -> peers.put(p.id(), p));
        return new View(SELF, nowMs, 0, Configuration.NONE, VersionShares.NONE, new Peers(peers));
    }

    private static Event rosterUpdate() {
        return new PeerReceived(id("b"), new RosterNews(CHAIN));
    }

    private static Roster roster(long basedOn, String... ids) {
        TreeMap<NodeId, Peer> members = TreeMap.empty();
        for (int i = 0; i < ids.length; i++) {
            Peer peer = new Peer(id(ids[i]), new Address("127.0.0.1", i + 1), new Zone("z" + i));
            members = members.put(peer.id(), peer);
        }
        return new Roster(basedOn, members);
    }

    private static NodeId id(String value) {
        return new NodeId(value);
    }
}
