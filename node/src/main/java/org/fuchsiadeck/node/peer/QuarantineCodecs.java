package org.fuchsiadeck.node.peer;

import java.util.List;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import org.fuchsiadeck.core.model.BackendId;
import org.fuchsiadeck.core.model.RequestId;
import org.fuchsiadeck.core.quarantine.QuarantineNews;
import org.fuchsiadeck.node.peer.generated.AnsweredPartProto;
import org.fuchsiadeck.node.peer.generated.LiveServerProto;
import org.fuchsiadeck.node.peer.generated.PromptLossProto;
import org.fuchsiadeck.node.peer.generated.PromptQuarantineProto;
import org.fuchsiadeck.node.peer.generated.QuarantineNewsProto;

/**
 * The codec of messages about prompt parts under which backend servers crash.
 */
public final class QuarantineCodecs {
    private QuarantineCodecs() {}

    /**
     * Returns the codecs.
     *
     * @return the codec, number 70
     */
    public static List<MessageCodec<?>> all() {
        return List.of(
                new MessageCodec<>(70, QuarantineNews.class, QuarantineCodecs::encode, QuarantineCodecs::decode));
    }

    private static QuarantineNewsProto encode(QuarantineNews m) {
        QuarantineNewsProto.Builder p = QuarantineNewsProto.newBuilder();
        m.losses()
                .forEach(l -> p.addLosses(PromptLossProto.newBuilder()
                        .setServer(l.server().value())
                        .setRequest(l.request().value())
                        .addAllParts(l.parts())
                        .setDispatchedAgoMs(l.dispatchedAgoMs())
                        .setLostAgoMs(l.lostAgoMs())));
        m.quarantines()
                .forEach(q -> p.addQuarantines(PromptQuarantineProto.newBuilder()
                        .addAllParts(q.parts())
                        .setFirstLossAgoMs(q.firstLossAgoMs())
                        .setAgeMs(q.ageMs())
                        .setLevel(q.level())));
        m.answers()
                .forEach(a -> p.addAnswers(
                        AnsweredPartProto.newBuilder().setPart(a.part()).setAgoMs(a.agoMs())));
        m.servers()
                .forEach(s -> p.addServers(LiveServerProto.newBuilder()
                        .setServer(s.server().value())
                        .setDispatchedAgoMs(s.dispatchedAgoMs())));
        return p.build();
    }

    private static QuarantineNews decode(ByteString payload) throws InvalidProtocolBufferException {
        QuarantineNewsProto p = QuarantineNewsProto.parseFrom(payload);
        return new QuarantineNews(
                p.getLossesList().stream()
                        .map(l -> new QuarantineNews.Loss(
                                new BackendId(l.getServer()),
                                new RequestId(l.getRequest()),
                                l.getPartsList(),
                                l.getDispatchedAgoMs(),
                                l.getLostAgoMs()))
                        .toList(),
                p.getQuarantinesList().stream()
                        .map(q -> new QuarantineNews.Entry(
                                q.getPartsList(), q.getFirstLossAgoMs(), q.getAgeMs(), q.getLevel()))
                        .toList(),
                p.getAnswersList().stream()
                        .map(a -> new QuarantineNews.Answer(a.getPart(), a.getAgoMs()))
                        .toList(),
                p.getServersList().stream()
                        .map(s -> new QuarantineNews.LiveServer(new BackendId(s.getServer()), s.getDispatchedAgoMs()))
                        .toList());
    }
}
