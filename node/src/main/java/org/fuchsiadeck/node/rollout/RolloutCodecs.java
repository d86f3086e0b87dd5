package org.fuchsiadeck.node.rollout;

import java.util.List;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import org.fuchsiadeck.core.model.VersionShares.ServiceVersion;
import org.fuchsiadeck.core.rollout.Condemnation;
import org.fuchsiadeck.core.rollout.RolloutMessage.Condemned;
import org.fuchsiadeck.core.rollout.RolloutMessage.Digest;
import org.fuchsiadeck.core.rollout.RolloutMessage.Observed;
import org.fuchsiadeck.core.rollout.RolloutMessage.Offer;
import org.fuchsiadeck.node.peer.MessageCodec;
import org.fuchsiadeck.node.peer.generated.ProtoCondemnation;
import org.fuchsiadeck.node.peer.generated.ProtoCondemned;
import org.fuchsiadeck.node.peer.generated.ProtoObserved;
import org.fuchsiadeck.node.peer.generated.ProtoRolloutDigest;
import org.fuchsiadeck.node.peer.generated.ProtoRolloutOffer;

/**
 * The codecs of the rollouts' messages.
 */
public final class RolloutCodecs {
    private RolloutCodecs() {}

    /**
     * Returns the codecs.
     *
     * @return the codecs, numbers 40 to 43
     */
    public static List<MessageCodec<?>> all() {
        return List.of(
                new MessageCodec<>(40, Observed.class, RolloutCodecs::observed, RolloutCodecs::observed),
                new MessageCodec<>(41, Condemned.class, RolloutCodecs::condemned, RolloutCodecs::condemned),
                new MessageCodec<>(42, Digest.class, RolloutCodecs::digest, RolloutCodecs::digest),
                new MessageCodec<>(43, Offer.class, RolloutCodecs::offer, RolloutCodecs::offer));
    }

    private static ProtoObserved observed(Observed m) {
        return ProtoObserved.newBuilder()
                .setService(m.service())
                .setNumber(m.number())
                .addAllTotal(EvidenceProtos.write(m.total()))
                .addAllRecent(EvidenceProtos.write(m.recent()))
                .build();
    }

    private static Observed observed(ByteString payload) throws InvalidProtocolBufferException {
        ProtoObserved p = ProtoObserved.parseFrom(payload);
        return new Observed(
                p.getService(),
                p.getNumber(),
                EvidenceProtos.read(p.getTotalList()),
                EvidenceProtos.read(p.getRecentList()));
    }

    private static ProtoCondemned condemned(Condemned m) {
        ProtoCondemned.Builder out = ProtoCondemned.newBuilder();
        for (Condemnation c : m.condemnations()) {
            out.addFound(ProtoCondemnation.newBuilder()
                    .setService(c.version().service())
                    .setVersion(c.version().version())
                    .setNumber(c.number())
                    .setReason(c.reason()));
        }
        return out.build();
    }

    private static Condemned condemned(ByteString payload) throws InvalidProtocolBufferException {
        List<ProtoCondemnation> found = ProtoCondemned.parseFrom(payload).getFoundList();
        return new Condemned(found.stream().map(RolloutCodecs::condemnation).toList());
    }

    private static Condemnation condemnation(ProtoCondemnation p) {
        ServiceVersion version = new ServiceVersion(p.getService(), p.getVersion());
        return new Condemnation(version, p.getNumber(), p.getReason());
    }

    private static ProtoRolloutDigest digest(Digest m) {
        return ProtoRolloutDigest.newBuilder()
                .setRevision(m.revision())
                .setCondemned(m.condemned())
                .build();
    }

    private static Digest digest(ByteString payload) throws InvalidProtocolBufferException {
        ProtoRolloutDigest p = ProtoRolloutDigest.parseFrom(payload);
        return new Digest(p.getRevision(), p.getCondemned());
    }

    private static ProtoRolloutOffer offer(Offer m) {
        return ProtoRolloutOffer.newBuilder()
                .setRevision(m.revision())
                .setText(m.text())
                .build();
    }

    private static Offer offer(ByteString payload) throws InvalidProtocolBufferException {
        ProtoRolloutOffer p = ProtoRolloutOffer.parseFrom(payload);
        return new Offer(p.getRevision(), p.getText());
    }
}
