package org.fuchsiadeck.node.log;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.logging.Level;

import org.fuchsiadeck.core.EventCode;
import org.jboss.logmanager.ExtHandler;
import org.jboss.logmanager.ExtLogRecord;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class LogOutputTest {
    private static final int LINES = 200;

    @Test
    void writesAllLinesBeforeItCloses() {
        List<String> written = new CopyOnWriteArrayList<>();
        ExtHandler slow = new ExtHandler() {
            @Override
            protected void doPublish(ExtLogRecord record) {
                Thread.yield();
                written.add(record.getFormattedMessage());
            }
        };
        try (LogOutput output = new LogOutput(Level.INFO, slow)) {
            assertThat(output).isNotNull();
            for (int i = 0; i < LINES; i++) {
                new EventLog().write(EventCode.NODE_STOPPED, "n" + i);
            }
        }
        assertThat(written).hasSize(LINES).last().asString().contains("NODE_STOPPED n" + (LINES - 1));
    }
}
