package org.fuchsiadeck.node.peer;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.fuchsiadeck.core.PeerMessage;

/**
 * The codecs of all kinds of messages that a node exchanges with its peers.
 */
public final class PeerCodecs {
    private final Map<Integer, MessageCodec<?>> byNumber = new HashMap<>();
    private final Map<Class<?>, MessageCodec<?>> byType = new HashMap<>();

    /**
     * Gathers the codecs of several concerns.
     *
     * @param concerns the codecs of each concern
     * @throws IllegalArgumentException if two codecs have the same number or type
     */
    public PeerCodecs(List<? extends Collection<MessageCodec<?>>> concerns) {
        for (Collection<MessageCodec<?>> codecs : concerns) {
            codecs.forEach(this::add);
        }
    }

    private void add(MessageCodec<?> codec) {
        if (byNumber.put(codec.number(), codec) != null || byType.put(codec.type(), codec) != null) {
            throw new IllegalArgumentException("two codecs for " + codec.number() + " or " + codec.type());
        }
    }

    MessageCodec<?> of(PeerMessage message) {
        MessageCodec<?> codec = byType.get(message.getClass());
        if (codec == null) {
            throw new IllegalArgumentException("no codec for " + message.getClass());
        }
        return codec;
    }

    Optional<MessageCodec<?>> of(int number) {
        return Optional.ofNullable(byNumber.get(number));
    }
}
