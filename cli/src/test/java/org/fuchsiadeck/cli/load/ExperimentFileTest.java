package org.fuchsiadeck.cli.load;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;

import org.fuchsiadeck.core.model.Address;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class ExperimentFileTest {
    @Test
    void readsAllExperimentsOfTheProject() throws IOException {
        try (Stream<Path> files = Files.list(Path.of("../experiments"))) {
            List<Path> all = files.filter(f -> f.toString().endsWith(".toml")).toList();
            assertThat(all).hasSizeGreaterThan(5).allSatisfy(f -> {
                Experiment experiment = ExperimentFile.read(f).getOrElseThrow(e -> new IllegalArgumentException(e));
                assertThat(experiment.configuration()).exists();
            });
        }
    }

    @ParameterizedTest(name = "{2}")
    @CsvSource(
            delimiter = '|',
            value = {
                "duration_s = 10 | length_s = 10   | duration_s is missing",
                "duration_s = 10 | duration_s = 'x' | :4:1: duration_s must be a Long",
                "duration_s = 10 | duration_s = 9999 | duration_s",
                "warmup_s = 0    | warm_s = 0       | :5:1: warm_s is not known",
                "'howrah'        | 'pune'           | :2:1: preset is unknown: pune",
                "kind = 'entry'  | kind = 'meal'    | kind is unknown: meal",
            })
    void namesTheFault(String good, String bad, String expected) {
        String text = Experiments.text().replace('"', '\'');
        assertThat(text).contains(good);
        assertThat(Experiments.read(text.replace(good, bad)).getLeft()).contains(expected);
    }

    @ParameterizedTest
    @ValueSource(strings = {"10.0.0.1:80", "localhost:80", "128.0.0.1:80", "127.0.0.1.example.org:80", "0.0.0.0:80"})
    void loadStaysOnThisMachine(String target) {
        assertThatThrownBy(() -> Loopback.check(Address.parse(target))).hasMessageContaining("127.0.0.0/8 only");
    }

    @Test
    void loopbackIsAllowed() {
        Address address = new Address("127.3.2.1", 80);
        assertThat(Loopback.check(address)).isSameAs(address);
    }
}
