package org.fuchsiadeck.node.http;

import java.nio.ByteBuffer;
import java.util.Arrays;

/**
 * Bytes of a connection that have been received but not passed on.
 */
final class ByteQueue {
    private static final byte[] EMPTY = {};

    private byte[] bytes = EMPTY;
    private int start;
    private int end;

    int size() {
        return end - start;
    }

    /** Returns the byte at an offset from the first one, as an unsigned value. */
    int at(int offset) {
        return bytes[start + offset] & 0xff;
    }

    void append(ByteBuffer more) {
        int count = more.remaining();
        if (bytes.length - end < count) {
            makeRoom(count);
        }
        more.get(bytes, end, count);
        end += count;
    }

    private void makeRoom(int count) {
        int size = size();
        boolean fits = bytes.length - size >= count;
        byte[] target = fits ? bytes : new byte[Math.max(size + count, 2 * bytes.length)];
        System.arraycopy(bytes, start, target, 0, size);
        bytes = target;
        start = 0;
        end = size;
    }

    byte[] take(int count) {
        byte[] taken = Arrays.copyOfRange(bytes, start, start + count);
        skip(count);
        return taken;
    }

    void skip(int count) {
        start += count;
        if (start == end) {
            // Most connections are idle most of the time.
            bytes = EMPTY;
            start = 0;
            end = 0;
        }
    }
}
