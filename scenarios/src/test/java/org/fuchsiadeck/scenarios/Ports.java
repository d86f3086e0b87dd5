package org.fuchsiadeck.scenarios;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.HashSet;
import java.util.Set;

/** Free TCP ports on the loopback address. */
final class Ports {
    private static final Set<Integer> GIVEN = new HashSet<>();

    private Ports() {}

    static synchronized int free() {
        while (true) {
            try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
                if (GIVEN.add(socket.getLocalPort())) {
                    return socket.getLocalPort();
                }
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
    }
}
