package org.troutpier.daemon.peer;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.msgpack.core.MessageUnpacker;

/**
 * Reads a MessagePack array whose elements are the components of a record. A missing or null
 * element has its type's default value, and {@link #end()} skips further ones, so that routers of
 * different versions understand each other. Confined to one thread.
 */
final class MessagePackArray {

    private final MessageUnpacker mInput;

    private int mRemaining;

    /**
     * Starts to read an array.
     *
     * @param input positioned at the array
     */
    MessagePackArray(MessageUnpacker input) throws IOException {
        mInput = input;
        mRemaining = input.unpackArrayHeader();
    }

    /** Advances to the next element; returns whether it is present and not null. */
    boolean next() throws IOException {
        if (mRemaining == 0) {
            return false;
        }
        mRemaining--;
        return !mInput.tryUnpackNil();
    }

    int nextInt() throws IOException {
        return next() ? mInput.unpackInt() : 0;
    }

    long nextLong() throws IOException {
        return next() ? mInput.unpackLong() : 0;
    }

    double nextDouble() throws IOException {
        return next() ? mInput.unpackDouble() : 0;
    }

    boolean nextBoolean() throws IOException {
        return next() && mInput.unpackBoolean();
    }

    /**
     * Reads an array of texts.
     *
     * @param element decodes an element
     */
    <T> Set<T> nextSet(Element<String, T> element) throws IOException {
        Set<T> set = new HashSet<>();
        int size = next() ? mInput.unpackArrayHeader() : 0;
        for (int index = 0; index < size; index++) {
            set.add(element.read(mInput.unpackString()));
        }
        return set;
    }

    String nextString() throws IOException {
        return next() ? mInput.unpackString() : "";
    }

    /**
     * Reads an array.
     *
     * @param element reads an element
     */
    <T> List<T> nextList(Element<MessageUnpacker, T> element) throws IOException {
        List<T> list = new ArrayList<>();
        int size = next() ? mInput.unpackArrayHeader() : 0;
        for (int index = 0; index < size; index++) {
            list.add(element.read(mInput));
        }
        return list;
    }

    /**
     * Reads a map with text keys.
     *
     * @param key decodes a key
     * @param value reads a value
     */
    <K, V> Map<K, V> nextMap(Element<String, K> key, Element<MessageUnpacker, V> value)
            throws IOException {
        Map<K, V> map = new HashMap<>();
        int size = next() ? mInput.unpackMapHeader() : 0;
        for (int index = 0; index < size; index++) {
            K decoded = key.read(mInput.unpackString());
            map.put(decoded, value.read(mInput));
        }
        return map;
    }

    /** Skips the remaining elements. */
    void end() throws IOException {
        mInput.skipValue(mRemaining);
        mRemaining = 0;
    }

    /**
     * Reads an element.
     *
     * @param <S> what it is read from
     * @param <T> its type
     */
    interface Element<S, T> {

        T read(S source) throws IOException;
    }
}
