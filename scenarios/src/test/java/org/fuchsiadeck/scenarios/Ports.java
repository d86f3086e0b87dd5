package org.fuchsiadeck.scenarios;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;

/**
 * Free TCP ports on the loopback address. They lie below those that the system gives to outgoing connections, so that
 * none is taken between its choice and its use.
 */
final class Ports {
    private static final int FIRST = 12_000;
    private static final int COUNT = 20_000;
    private static final int STEP = 7;

    private static int next = (int) (ProcessHandle.current().pid() * 97 % COUNT);

    private Ports() {}

    static synchronized int free() {
        for (int tries = 0; tries < COUNT; tries++) {
            next = (next + STEP) % COUNT;
            try (ServerSocket socket = new ServerSocket(FIRST + next, 1, InetAddress.getLoopbackAddress())) {
                return socket.getLocalPort();
            } catch (IOException e) {
                continue;
            }
        }
        throw new IllegalStateException("no port is free");
    }
}
