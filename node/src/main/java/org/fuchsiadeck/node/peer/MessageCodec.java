package org.fuchsiadeck.node.peer;

import java.util.function.Function;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.MessageLite;
import org.fuchsiadeck.core.PeerMessage;
import org.fuchsiadeck.core.model.Checks;

import static java.util.Objects.requireNonNull;

/**
 * How one kind of message is written on the wire.
 *
 * @param <M> the kind of message
 * @param number the number of the kind in a frame; never reused
 * @param type the class of the message
 * @param encode gives the protobuf form of a message
 * @param decode reads a message
 */
public record MessageCodec<M extends PeerMessage>(
        int number, Class<M> type, Function<M, MessageLite> encode, Decoder<M> decode) {
    private static final int FIRST_NUMBER = 10;
    private static final int LAST_NUMBER = 999;

    public MessageCodec {
        Checks.inRange(number, FIRST_NUMBER, LAST_NUMBER, "number");
        requireNonNull(type, "type");
        requireNonNull(encode, "encode");
        requireNonNull(decode, "decode");
    }

    /**
     * Reads a message.
     *
     * @param <M> the kind of message
     */
    @FunctionalInterface
    public interface Decoder<M> {
        /**
         * Reads a message.
         *
         * @param payload the encoded message
         * @return the message
         * @throws InvalidProtocolBufferException if the payload is no message of this kind
         * @throws IllegalArgumentException if a field has a value that is not allowed
         */
        M decode(ByteString payload) throws InvalidProtocolBufferException;
    }

    ByteString encoded(PeerMessage message) {
        return encode.apply(type.cast(message)).toByteString();
    }
}
