package org.fuchsiadeck.scenarios;

import io.cucumber.java.After;

/** Ends each scenario with a comparison of what callers were told with what ran. */
public final class Hooks {
    @After
    public void compareAndStop() {
        World.end();
    }
}
