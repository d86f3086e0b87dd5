package org.fuchsiadeck.core.limit;

import java.util.List;
import java.util.Random;

import io.vavr.collection.HashSet;
import org.fuchsiadeck.core.model.RequestId;
import org.fuchsiadeck.core.model.TeamId;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against starvation and misplaced priority under shared scheduling: a low priority that is never served, an
 * urgent one that is served less often than others, requests that are on time queued behind late ones, and teams that
 * exceed their share.
 */
class QueueOrderTest {
    private static final int RETRY = 10;
    private static final long TARGET_MS = 1_500;
    private static final long DEADLINE_MS = 60_000;

    private FairQueue queue = FairQueue.EMPTY;

    private Ticket add(String id, String team, int priority, QueueTerms terms) {
        Ticket ticket = queue.ticketFor(new RequestId(id), new TeamId(team), 1, priority, 1)
                .with(terms);
        queue = queue.with(ticket);
        return ticket;
    }

    private static QueueTerms terms(long arrivedMs) {
        return new QueueTerms(arrivedMs, arrivedMs + TARGET_MS, arrivedMs + DEADLINE_MS, 10, 1);
    }

    private List<String> ids(TeamShares shares, long nowMs) {
        return new QueueOrder(queue.history(), shares, nowMs, RETRY)
                .sort(queue.tickets()).stream().map(t -> t.id().value()).toList();
    }

    /** Twice as many urgent requests arrive as are dispatched. They age too, so that those before it stay ahead. */
    @Test
    void servesALowPriorityAheadOfUrgentRequestsThatArriveMuchLater() {
        add("low", "a", 0, terms(0));
        for (int nowMs = 0; nowMs < DEADLINE_MS / 2; nowMs += 100) {
            add("urgent" + nowMs, "b", 2, terms(nowMs));
            add("spare" + nowMs, "b", 2, terms(nowMs));
            Ticket next = new QueueOrder(queue.history(), TeamShares.NONE, nowMs, RETRY)
                    .sort(queue.tickets())
                    .get(0);
            if (next.id().value().equals("low")) {
                return;
            }
            assertThat(next.terms().arrivedMs()).isLessThan(4 * TARGET_MS);
            queue = queue.withDispatch(next);
            queue = queue.with(queue.history().withOutcome(next, true, nowMs));
        }
        throw new AssertionError("expected a dispatch of the low priority within " + DEADLINE_MS / 2 + " ms, got none");
    }

    @Test
    void doesNotPassAMoreUrgentPriorityThatIsServedLessOften() {
        Ticket low = add("low", "a", 0, terms(0));
        Ticket urgent = add("urgent", "b", 1, terms(1_990));
        assertThat(ids(TeamShares.NONE, 2 * TARGET_MS)).startsWith("low");
        QueueHistory history = QueueHistory.NONE;
        for (int i = 0; i < 10; i++) {
            history = history.withOutcome(urgent, i % 2 == 0, 1_900).withOutcome(low, true, 1_900);
        }
        queue = queue.with(history);
        assertThat(ids(TeamShares.NONE, 2 * TARGET_MS)).startsWith("urgent");
        assertThat(ids(TeamShares.NONE, 4 * TARGET_MS))
                .as("it waited four times as long")
                .startsWith("low");
    }

    @Test
    void servesAPriorityFirstThatWasServedLessThanAQuarterAsOften() {
        Ticket urgent = add("urgent", "a", 2, terms(0));
        Ticket low = add("low", "b", 0, terms(0));
        QueueHistory history = QueueHistory.NONE;
        for (int i = 0; i < 10; i++) {
            history = history.withOutcome(urgent, true, 0).withOutcome(low, i % 5 == 0, 0);
        }
        queue = queue.with(history);
        assertThat(ids(TeamShares.NONE, 0)).containsExactly("low", "urgent");
    }

    @Test
    void putsRequestsOfATeamThatCanBeOnTimeBeforeLateOnes() {
        add("hopeless", "a", 0, new QueueTerms(0, 100, 400, 500, 1));
        add("late", "a", 0, new QueueTerms(0, 100, 4_000, 500, 1));
        add("on time", "a", 0, new QueueTerms(0, 1_500, 4_000, 500, 1));
        assertThat(ids(TeamShares.NONE, 0)).containsExactly("on time", "late", "hopeless");
    }

    @Test
    void putsATeamAboveItsShareLastAndLeavesItTheRest() {
        add("over1", "over", 0, terms(0));
        add("over2", "over", 0, terms(0));
        add("below", "below", 0, terms(0));
        TeamShares shares = new TeamShares(HashSet.of(new TeamId("over")));
        assertThat(ids(shares, 0)).containsExactly("below", "over1", "over2");
        add("urgent", "over", 1, terms(0));
        assertThat(ids(shares, 0)).startsWith("urgent");
    }

    @Test
    void sharesAreProportionalToWeightsAmongActiveTeamsOfAUnit() {
        TeamShares shares = TeamShares.of(List.of(
                use("heavy", 3, 300, true),
                use("light", 1, 110, true),
                use("eager", 1, 200, true),
                use("idle", 9, 0, true),
                use("plain", 1, 9_000, false)));
        assertThat(shares.over()).containsExactly(new TeamId("eager"));
    }

    @Test
    void equalTeamsAreWithinTheirShares() {
        assertThat(TeamShares.of(List.of(use("a", 1, 100, true), use("b", 1, 104, true))))
                .isEqualTo(TeamShares.NONE);
        assertThat(TeamShares.of(List.of())).isEqualTo(TeamShares.NONE);
    }

    /** The switch may differ between routes of a service: their requests must not change places by it. */
    @Test
    void keepsTheOrderOfRequestsWithoutSharedScheduling() {
        Random random = new Random(3);
        for (int i = 0; i < 200; i++) {
            add("r" + i, "t" + random.nextInt(5), random.nextInt(4), QueueTerms.NONE);
        }
        assertThat(new QueueOrder(QueueHistory.NONE, TeamShares.NONE, 1_000_000, RETRY).sort(queue.tickets()))
                .containsExactlyElementsOf(queue.tickets());
    }

    @Test
    void putsRequestsThatWereDispatchedBeforeFirst() {
        add("waited", "a", 9, terms(0));
        add("retry", "b", RETRY, QueueTerms.NONE);
        assertThat(ids(TeamShares.NONE, 50_000)).startsWith("retry");
    }

    @Test
    void refusedCallersReturnOneAfterTheOtherWithinABoundedTime() {
        QueueHistory history = QueueHistory.NONE;
        long last = 0;
        for (int i = 0; i < 100; i++) {
            history = history.withReturn(1, 5_000, 50);
            assertThat(history.returnMs(1)).isBetween(Math.max(5_000, last + 1), 15_000L);
            last = history.returnMs(1);
        }
        for (int i = 0; i < 1_000; i++) {
            history = history.withReturn(1, 5_000, 50);
            assertThat(history.returnMs(1)).isBetween(5_000L, 15_000L);
        }
    }

    private static TeamShares.Use use(String team, int weight, double units, boolean tokens) {
        return new TeamShares.Use(new TeamId(team), weight, units, tokens);
    }
}
