package org.fuchsiadeck.node.http;

import static java.util.Objects.requireNonNull;

/**
 * Bytes of one message, in a form that has a single reading.
 *
 * @param bytes the head, a part of the body, or both; never bytes of two messages
 * @param last whether the message ends with these bytes
 */
public record MessagePart(byte[] bytes, boolean last) {
    public MessagePart {
        requireNonNull(bytes, "bytes");
    }
}
