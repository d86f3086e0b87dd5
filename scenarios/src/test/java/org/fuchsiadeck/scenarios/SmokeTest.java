package org.fuchsiadeck.scenarios;

import org.junit.jupiter.api.Test;

class SmokeTest {
    @Test
    void runs() {}
}
