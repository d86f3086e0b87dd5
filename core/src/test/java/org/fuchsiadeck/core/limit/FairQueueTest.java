package org.fuchsiadeck.core.limit;

import org.fuchsiadeck.core.model.RequestId;
import org.fuchsiadeck.core.model.TeamId;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against unfair order of queued requests: teams not served by weight, priority overridden by fairness, or a
 * team charged for a request that was never dispatched.
 */
class FairQueueTest {
    @Test
    void servesTeamsByWeight() {
        FairQueue queue = FairQueue.EMPTY;
        for (int i = 0; i < 40; i++) {
            queue = queue.with(queue.ticketFor(new RequestId("a" + i), new TeamId("a"), 1, 5, 1));
            queue = queue.with(queue.ticketFor(new RequestId("b" + i), new TeamId("b"), 3, 5, 1));
        }
        int servedOfB = 0;
        for (int i = 0; i < 20; i++) {
            Ticket next = queue.tickets().head();
            servedOfB += next.team().value().equals("b") ? 1 : 0;
            queue = queue.withDispatch(next);
        }
        assertThat(servedOfB).isBetween(14, 16);
    }

    @Test
    void ordersByPriorityBeforeFairness() {
        FairQueue queue = FairQueue.EMPTY;
        queue = queue.with(queue.ticketFor(new RequestId("low"), new TeamId("a"), 1, 1, 1));
        queue = queue.with(queue.ticketFor(new RequestId("high"), new TeamId("b"), 1, 9, 100));
        assertThat(queue.tickets().head().id()).isEqualTo(new RequestId("high"));
    }

    @Test
    void creditsTeamWhoseLastRequestIsRemoved() {
        FairQueue queue = FairQueue.EMPTY;
        queue = queue.with(queue.ticketFor(new RequestId("a"), new TeamId("a"), 1, 5, 1));
        Ticket second = queue.ticketFor(new RequestId("b"), new TeamId("a"), 1, 5, 1);
        queue = queue.with(second).without(second);
        assertThat(queue.ticketFor(new RequestId("c"), new TeamId("a"), 1, 5, 1).start())
                .isEqualTo(second.start());
    }
}
