package org.fuchsiadeck.scenarios;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;

/**
 * Free TCP ports on the loopback address, below those that the system gives to outgoing connections, which could take
 * one before its use.
 */
final class Ports {
    private static final int FIRST = 20_000;
    private static final int FOR_EACH_PROCESS = 100;
    private static final int PROCESSES = 100;

    private static int next = FIRST + (int) (ProcessHandle.current().pid() % PROCESSES) * FOR_EACH_PROCESS;

    private Ports() {}

    static synchronized int free() {
        while (true) {
            int port = next++;
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return socket.getLocalPort();
            } catch (BindException e) {
                continue;
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
    }
}
