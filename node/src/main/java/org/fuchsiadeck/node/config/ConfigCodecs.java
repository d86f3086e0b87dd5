package org.fuchsiadeck.node.config;

import java.util.List;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import org.fuchsiadeck.core.config.ConfigMessage.Announce;
import org.fuchsiadeck.core.config.ConfigMessage.Fetch;
import org.fuchsiadeck.core.config.ConfigMessage.Offer;
import org.fuchsiadeck.core.config.ConfigMessage.Query;
import org.fuchsiadeck.node.config.generated.ConfigAnnounce;
import org.fuchsiadeck.node.config.generated.ConfigFetch;
import org.fuchsiadeck.node.config.generated.ConfigOffer;
import org.fuchsiadeck.node.config.generated.ConfigQuery;
import org.fuchsiadeck.node.peer.MessageCodec;

/**
 * The codecs of the configuration's messages.
 */
public final class ConfigCodecs {
    private ConfigCodecs() {}

    /**
     * Returns the codecs.
     *
     * @return the codecs, numbers 30 to 33
     */
    public static List<MessageCodec<?>> all() {
        return List.of(
                new MessageCodec<>(30, Announce.class, ConfigCodecs::announce, ConfigCodecs::announce),
                new MessageCodec<>(31, Query.class, ConfigCodecs::query, ConfigCodecs::query),
                new MessageCodec<>(32, Fetch.class, m -> ConfigFetch.getDefaultInstance(), p -> new Fetch()),
                new MessageCodec<>(33, Offer.class, ConfigCodecs::offer, ConfigCodecs::offer));
    }

    private static ConfigAnnounce announce(Announce m) {
        return ConfigAnnounce.newBuilder()
                .setRevision(m.revision())
                .setVersion(m.version())
                .setNumber(m.number())
                .setAgeMs(m.ageMs())
                .build();
    }

    private static Announce announce(ByteString payload) throws InvalidProtocolBufferException {
        ConfigAnnounce p = ConfigAnnounce.parseFrom(payload);
        return new Announce(p.getRevision(), p.getVersion(), p.getNumber(), p.getAgeMs());
    }

    private static ConfigQuery query(Query m) {
        return ConfigQuery.newBuilder().setNumber(m.number()).build();
    }

    private static Query query(ByteString payload) throws InvalidProtocolBufferException {
        return new Query(ConfigQuery.parseFrom(payload).getNumber());
    }

    private static ConfigOffer offer(Offer m) {
        return ConfigOffer.newBuilder()
                .setRevision(m.revision())
                .setValue(m.value())
                .build();
    }

    private static Offer offer(ByteString payload) throws InvalidProtocolBufferException {
        ConfigOffer p = ConfigOffer.parseFrom(payload);
        return new Offer(p.getRevision(), p.getValue());
    }
}
