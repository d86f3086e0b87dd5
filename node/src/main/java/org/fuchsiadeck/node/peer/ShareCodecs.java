package org.fuchsiadeck.node.peer;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import org.fuchsiadeck.core.model.BackendId;
import org.fuchsiadeck.core.model.TeamId;
import org.fuchsiadeck.core.share.ShareReport;
import org.fuchsiadeck.core.share.ShareSum;
import org.fuchsiadeck.node.peer.generated.BegunProto;
import org.fuchsiadeck.node.peer.generated.ServiceUseProto;
import org.fuchsiadeck.node.peer.generated.ShareReportProto;
import org.fuchsiadeck.node.peer.generated.ShareSumProto;

/**
 * The codec of what entry nodes tell each other of their use.
 */
public final class ShareCodecs {
    private ShareCodecs() {}

    /**
     * Returns the codecs.
     *
     * @return the codecs, numbers 60 and 61
     */
    public static List<MessageCodec<?>> all() {
        return List.of(
                new MessageCodec<>(60, ShareReport.class, ShareCodecs::report, ShareCodecs::report),
                new MessageCodec<>(61, ShareSum.class, ShareCodecs::sum, ShareCodecs::sum));
    }

    private static ShareSumProto sum(ShareSum m) {
        return ShareSumProto.newBuilder()
                .setPlane(m.plane())
                .setGroups(m.groups())
                .setGroup(m.group())
                .setNodes(m.nodes())
                .setTotal(report(m.total()))
                .build();
    }

    private static ShareSum sum(ByteString payload) throws InvalidProtocolBufferException {
        ShareSumProto p = ShareSumProto.parseFrom(payload);
        return new ShareSum(p.getPlane(), p.getGroups(), p.getGroup(), p.getNodes(), report(p.getTotal()));
    }

    private static ShareReportProto report(ShareReport m) {
        ShareReportProto.Builder p = ShareReportProto.newBuilder()
                .setWallMs(m.wallMs())
                .setStartedWallMs(m.startedWallMs())
                .setAgeMs(m.ageMs())
                .putAllSpent(named(m.spent(), TeamId::value))
                .putAllLately(named(m.lately(), TeamId::value))
                .putAllRefused(named(m.refused(), TeamId::value))
                .putAllInFlight(named(m.inFlight(), BackendId::value))
                .putAllUnread(named(m.unread(), BackendId::value))
                .setWithoutServers(!m.hasServers())
                .putAllNewest(m.newest())
                .setUnknownFields(ServerTimesField.write(m.serverTimes()));
        m.services()
                .forEach((service, use) -> p.addServices(ServiceUseProto.newBuilder()
                        .setService(service)
                        .setRequests(use.requests())
                        .setRepeats(use.repeats())
                        .setWaiting(use.waiting())));
        m.begun()
                .forEach((window, counts) -> p.addBegun(
                        BegunProto.newBuilder().setWindow(window).putAllCounts(named(counts, TeamId::value))));
        return p.build();
    }

    private static ShareReport report(ByteString payload) throws InvalidProtocolBufferException {
        return report(ShareReportProto.parseFrom(payload));
    }

    private static ShareReport report(ShareReportProto p) throws InvalidProtocolBufferException {
        Map<String, ShareReport.ServiceUse> services = new HashMap<>();
        for (ServiceUseProto use : p.getServicesList()) {
            services.put(
                    use.getService(),
                    new ShareReport.ServiceUse(use.getRequests(), use.getRepeats(), use.getWaiting()));
        }
        Map<Long, Map<TeamId, Long>> begun = new HashMap<>();
        for (BegunProto window : p.getBegunList()) {
            begun.put(window.getWindow(), keyed(window.getCountsMap(), TeamId::new));
        }
        return new ShareReport(
                p.getWallMs(),
                p.getStartedWallMs(),
                p.getAgeMs(),
                keyed(p.getSpentMap(), TeamId::new),
                keyed(p.getLatelyMap(), TeamId::new),
                keyed(p.getRefusedMap(), TeamId::new),
                services,
                begun,
                keyed(p.getInFlightMap(), BackendId::new),
                keyed(p.getUnreadMap(), BackendId::new),
                !p.getWithoutServers(),
                p.getNewestMap(),
                ServerTimesField.read(p.getUnknownFields()));
    }

    private static <K, V> Map<String, V> named(Map<K, V> map, Function<K, String> name) {
        Map<String, V> out = new HashMap<>();
        map.forEach((k, v) -> out.put(name.apply(k), v));
        return out;
    }

    private static <K, V> Map<K, V> keyed(Map<String, V> map, Function<String, K> key) {
        Map<K, V> out = new HashMap<>();
        map.forEach((k, v) -> out.put(key.apply(k), v));
        return out;
    }
}
