package org.fuchsiadeck.core.limit;

import org.fuchsiadeck.core.model.RequestId;
import org.fuchsiadeck.core.model.TeamId;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class FairQueueTest {
    @Test
    void sharesByWeight() {
        FairQueue queue = FairQueue.EMPTY;
        for (int i = 0; i < 40; i++) {
            queue = queue.added(queue.ticketFor(new RequestId("a" + i), new TeamId("a"), 1, 5, 1));
            queue = queue.added(queue.ticketFor(new RequestId("b" + i), new TeamId("b"), 3, 5, 1));
        }
        int heavy = 0;
        for (int i = 0; i < 20; i++) {
            Ticket next = queue.tickets().head();
            heavy += next.team().value().equals("b") ? 1 : 0;
            queue = queue.dispatched(next);
        }
        assertThat(heavy).isBetween(14, 16);
    }

    @Test
    void putsPriorityBeforeFairness() {
        FairQueue queue = FairQueue.EMPTY;
        queue = queue.added(queue.ticketFor(new RequestId("low"), new TeamId("a"), 1, 1, 1));
        queue = queue.added(queue.ticketFor(new RequestId("high"), new TeamId("b"), 1, 9, 100));
        assertThat(queue.tickets().head().id()).isEqualTo(new RequestId("high"));
    }

    @Test
    void givesTimeBackToATeamWhoseLastRequestIsDropped() {
        FairQueue queue = FairQueue.EMPTY;
        queue = queue.added(queue.ticketFor(new RequestId("a"), new TeamId("a"), 1, 5, 1));
        Ticket second = queue.ticketFor(new RequestId("b"), new TeamId("a"), 1, 5, 1);
        queue = queue.added(second).removed(second);
        assertThat(queue.ticketFor(new RequestId("c"), new TeamId("a"), 1, 5, 1).start())
                .isEqualTo(second.start());
    }
}
