package org.fuchsiadeck.node;

import org.junit.jupiter.api.Test;

class SmokeTest {
    @Test
    void runs() {}
}
