package org.fuchsiadeck.core.directory;

import java.util.ArrayList;
import java.util.List;

import org.fuchsiadeck.core.directory.DirectoryMessage.DepartedBackend;
import org.fuchsiadeck.core.directory.DirectoryMessage.Departures;
import org.fuchsiadeck.core.directory.DirectoryMessage.Query;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against departures that are missed, and against knowledge that is taken for newer than it is. */
class DepartureHistoryTest {
    private static final DepartedBackend FIRST = new DepartedBackend("servers/a", 11, true);
    private static final DepartedBackend SECOND = new DepartedBackend("servers/b", 13, false);

    private final DepartureHistory history = DepartureHistory.EMPTY.startedAt(10);

    @Test
    void takesAnAnswerAsProofFromTheTimeOfTheQuery() {
        DepartureHistory next = history.withPeerDepartures(new Departures(1, 10, 13, 300, List.of(FIRST)), 5_000);
        assertThat(next.revision()).isEqualTo(13);
        assertThat(next.ageMs(5_100)).isEqualTo(400);
        assertThat(next.isRemoved("servers/a", 10)).isTrue();
        assertThat(next.isRemoved("servers/a", 12)).isFalse();
    }

    @Test
    void takesNoMessageAfterAGapAsProofButUsesItsDepartures() {
        DepartureHistory next = history.withPeerDepartures(new Departures(1, 12, 13, 0, List.of(SECOND)), 5_000);
        assertThat(next.revision()).isEqualTo(10);
        assertThat(next.ageMs(5_000)).isEqualTo(5_000);
        assertThat(next.isLeaving("servers/b", 13)).isTrue();
        assertThat(next.isLeaving("servers/b", 14)).isFalse();
    }

    @Test
    void takesAnOlderPeersProofSinceItsOwnKnowledgeIsNewer() {
        DepartureHistory next = history.withAnswer(List.of(FIRST), 12, 1_000)
                .withPeerDepartures(new Departures(1, 10, 10, 100, List.of()), 5_000);
        assertThat(next.revision()).isEqualTo(12);
        assertThat(next.ageMs(5_000)).isEqualTo(100);
    }

    @Test
    void takesNoUnaskedMessageAsProof() {
        Departures message = new Departures(Departures.UNASKED, 10, 13, 0, List.of(FIRST));
        DepartureHistory next = history.withPeerDepartures(message, 5_000);
        assertThat(next.revision()).isEqualTo(13);
        assertThat(next.ageMs(5_000)).isEqualTo(5_000);
    }

    @Test
    void answersWithTheLaterDepartures() {
        DepartureHistory next = history.withAnswer(List.of(FIRST, SECOND), 14, 1_000);
        assertThat(next.answer(new Query(7, 11), 1_250)).isEqualTo(new Departures(7, 11, 14, 250, List.of(SECOND)));
    }

    @Test
    void showsAGapOnceOldDeparturesAreDropped() {
        List<DepartedBackend> many = new ArrayList<>();
        for (int i = 0; i < 600; i++) {
            many.add(new DepartedBackend("servers/s" + i, 11 + i, true));
        }
        DepartureHistory next = history.withAnswer(many, 700, 1_000);
        assertThat(next.byKey().size()).isLessThan(600);
        Departures answer = next.answer(new Query(1, 10), 1_000);
        assertThat(answer.sinceRevision()).isEqualTo(next.completeAfter()).isGreaterThan(10);
        assertThat(answer.departed()).hasSize(next.byKey().size());
    }
}
