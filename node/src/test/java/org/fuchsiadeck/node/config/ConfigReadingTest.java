package org.fuchsiadeck.node.config;

import java.util.ArrayList;
import java.util.List;

import org.fuchsiadeck.core.Event;
import org.fuchsiadeck.core.config.ConfigEffect;
import org.fuchsiadeck.core.config.ConfigEvent;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ConfigReadingTest {
    private final List<Event> events = new ArrayList<>();
    private final ConfigReading reading = new ConfigReading(Runnable::run, events::add);

    private static String value(String text) {
        return new Envelope("w", "asha", "why", 1, text, List.of()).toJson();
    }

    @Test
    void postsTheConfigurationWithItsRevision() {
        reading.run(new ConfigEffect.Parse(9, value("[defaults]\nweight = 3\n"), "platform"));
        ConfigEvent.Parsed parsed = (ConfigEvent.Parsed) events.get(0);
        assertThat(parsed.configuration().revision()).isEqualTo(9);
        assertThat(parsed.configuration().defaults().weight()).isEqualTo(3);
    }

    @Test
    void postsWhatIsWrongOtherwise() {
        reading.run(new ConfigEffect.Parse(9, value("a = 1\nb = 2\n"), "norte-1"));
        reading.run(new ConfigEffect.Parse(10, "no envelope", "norte-1"));
        ConfigEvent.Rejected text = (ConfigEvent.Rejected) events.get(0);
        assertThat(text.detail()).startsWith("1:1: unknown key a").contains("; 2:1: unknown key b");
        ConfigEvent.Rejected json = (ConfigEvent.Rejected) events.get(1);
        assertThat(json.detail()).startsWith("the value is no envelope");
    }
}
