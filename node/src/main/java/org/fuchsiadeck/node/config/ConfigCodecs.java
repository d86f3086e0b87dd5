package org.fuchsiadeck.node.config;

import com.google.protobuf.InvalidProtocolBufferException;
import org.fuchsiadeck.core.config.ConfigMessage;
import org.fuchsiadeck.node.config.generated.ConfigAnnounce;
import org.fuchsiadeck.node.config.generated.ConfigFetch;
import org.fuchsiadeck.node.config.generated.ConfigOffer;
import org.fuchsiadeck.node.config.generated.ConfigQuery;

/**
 * Turns {@link ConfigMessage}s into bytes and back. Each kind has a number, which travels beside the bytes.
 */
public final class ConfigCodecs {
    /** The number of {@link ConfigMessage.Announce}. */
    public static final int ANNOUNCE = 30;

    /** The number of {@link ConfigMessage.Query}. */
    public static final int QUERY = 31;

    /** The number of {@link ConfigMessage.Fetch}. */
    public static final int FETCH = 32;

    /** The number of {@link ConfigMessage.Offer}. */
    public static final int OFFER = 33;

    private ConfigCodecs() {}

    /**
     * Returns the number of a message's kind.
     *
     * @param message the message
     * @return the number
     */
    public static int number(ConfigMessage message) {
        if (message instanceof ConfigMessage.Announce) {
            return ANNOUNCE;
        }
        if (message instanceof ConfigMessage.Query) {
            return QUERY;
        }
        return message instanceof ConfigMessage.Fetch ? FETCH : OFFER;
    }

    /**
     * Encodes a message.
     *
     * @param message the message
     * @return the bytes, without the number
     */
    public static byte[] encode(ConfigMessage message) {
        if (message instanceof ConfigMessage.Announce m) {
            return ConfigAnnounce.newBuilder().setRevision(m.revision()).build().toByteArray();
        }
        if (message instanceof ConfigMessage.Offer m) {
            return ConfigOffer.newBuilder()
                    .setRevision(m.revision())
                    .setValue(m.value())
                    .build()
                    .toByteArray();
        }
        return message instanceof ConfigMessage.Query
                ? ConfigQuery.getDefaultInstance().toByteArray()
                : ConfigFetch.getDefaultInstance().toByteArray();
    }

    /**
     * Decodes a message.
     *
     * @param number the number of its kind
     * @param bytes the bytes
     * @return the message
     * @throws IllegalArgumentException if the number is unknown or the bytes are no such message
     */
    public static ConfigMessage decode(int number, byte[] bytes) {
        try {
            return switch (number) {
                case ANNOUNCE ->
                    new ConfigMessage.Announce(ConfigAnnounce.parseFrom(bytes).getRevision());
                case QUERY -> new ConfigMessage.Query();
                case FETCH -> new ConfigMessage.Fetch();
                case OFFER -> offer(ConfigOffer.parseFrom(bytes));
                default -> throw new IllegalArgumentException("no message of the configuration has number " + number);
            };
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalArgumentException("unreadable message of number " + number, e);
        }
    }

    private static ConfigMessage offer(ConfigOffer offer) {
        return new ConfigMessage.Offer(offer.getRevision(), offer.getValue());
    }
}
