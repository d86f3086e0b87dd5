package org.fuchsiadeck.scenarios;

import java.util.List;

/**
 * How an entry node is to be started.
 *
 * @param id the node's id
 * @param zone its availability zone
 * @param seed its seed
 * @param callerPort where it listens for callers
 * @param operatorPort where it listens for operators
 * @param peerPort where it listens for its peers
 * @param peerAddress where its peers reach it
 * @param peers where it finds its peers
 * @param platform the key-value service
 * @param cloud the list of instances
 */
record NodePlan(
        String id,
        String zone,
        int seed,
        int callerPort,
        int operatorPort,
        int peerPort,
        String peerAddress,
        List<String> peers,
        String platform,
        String cloud) {
    private static final int POLL_MS = 200;
    private static final int DRAIN_MS = 15_000;

    String settings() {
        return """
                id = "%s"
                zone = "%s"
                seed = %d
                drain_notice_ms = %d

                [callers]
                address = "127.0.0.1:%d"

                [operators]
                address = "127.0.0.1:%d"
                token = "%s"

                [peers]
                address = "%s"
                bind = "127.0.0.1:%d"
                seeds = [%s]

                [platform]
                address = "%s"

                [cloud]
                address = "%s"
                poll_ms = %d
                """.formatted(
                        id,
                        zone,
                        seed,
                        DRAIN_MS,
                        callerPort,
                        operatorPort,
                        NodeProcess.TOKEN,
                        peerAddress,
                        peerPort,
                        String.join(", ", peers.stream().map(p -> '"' + p + '"').toList()),
                        platform,
                        cloud,
                        POLL_MS);
    }
}
