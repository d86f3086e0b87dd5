package org.fuchsiadeck.cli;

import org.junit.jupiter.api.Test;

class SmokeTest {
    @Test
    void runs() {}
}
