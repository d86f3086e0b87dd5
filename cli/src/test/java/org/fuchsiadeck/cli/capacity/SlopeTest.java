package org.fuchsiadeck.cli.capacity;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

class SlopeTest {
    @Test
    void fitsALineThroughItsPoints() {
        Slope line = Slope.fit(List.of(point("a", 8, 26), point("a", 32, 74), point("a", 370, 750)));

        assertThat(line.slope()).isEqualTo(2, within(1e-9));
        assertThat(line.base()).isEqualTo(10, within(1e-9));
    }

    @Test
    void fitsTheNearestLineThroughPointsThatLieOnNone() {
        Slope line = Slope.fit(List.of(point("a", 1, 1), point("a", 2, 4), point("a", 3, 4)));

        assertThat(line.slope()).isEqualTo(1.5, within(1e-9));
        assertThat(line.base()).isEqualTo(0, within(1e-9));
    }

    @Test
    void leavesOutWhatWasMeasuredAtOneSize() {
        List<Slope> lines = Slope.of(List.of(point("a", 1, 1), point("b", 1, 1), point("a", 2, 3)));

        assertThat(lines).extracting(Slope::item).containsExactly("a");
    }

    private static Point point(String item, int size, double value) {
        return Point.exact(item, "members", size, "us", value);
    }
}
