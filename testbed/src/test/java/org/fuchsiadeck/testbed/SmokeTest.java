package org.fuchsiadeck.testbed;

import org.junit.jupiter.api.Test;

class SmokeTest {
    @Test
    void runs() {}
}
