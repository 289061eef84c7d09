package org.troutpier.daemon.upstream;

import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Bounds the memory of all responses that are buffered at the same time. Confined to one thread.
 * Invariant: between two calls, the buffers that are open hold no more than the limit. When they
 * exceed it, the largest is evicted: a body without end outgrows those of sound upstreams.
 */
public final class ResponseMemory {

    /**
     * Share of the heap for buffered responses. A response is copied when its buffer grows and when
     * it is sent to its caller.
     */
    private static final int HEAP_SHARE = 4;

    private final long mMaxBytes;

    private final Set<Buffer> mBuffers = new LinkedHashSet<>();

    private long mBytes;

    /**
     * Creates a memory without buffers.
     *
     * @param maxBytes the most that all buffers may hold
     */
    ResponseMemory(long maxBytes) {
        mMaxBytes = maxBytes;
    }

    /** Creates a memory that is limited to a share of the heap's largest size. */
    public static ResponseMemory ofHeap() {
        return new ResponseMemory(Runtime.getRuntime().maxMemory() / HEAP_SHARE);
    }

    /**
     * Opens a buffer.
     *
     * @param onEvicted called when the buffer is evicted, after it was closed
     */
    public Buffer open(Runnable onEvicted) {
        Buffer buffer = new Buffer(onEvicted);
        mBuffers.add(buffer);
        return buffer;
    }

    /** Returns the bytes that all open buffers hold. */
    long bytes() {
        return mBytes;
    }

    /** The share of one response. Confined to the thread of the memory. */
    public final class Buffer {

        private final Runnable mOnEvicted;

        private long mSize;

        private Buffer(Runnable onEvicted) {
            mOnEvicted = onEvicted;
        }

        /**
         * Adds bytes, and evicts the largest buffer if all hold too much.
         *
         * @return whether this buffer is still open
         */
        public boolean add(int bytes) {
            if (!mBuffers.contains(this)) {
                return false;
            }
            mSize += bytes;
            mBytes += bytes;
            if (mBytes > mMaxBytes) {
                Buffer largest =
                        mBuffers.stream()
                                .max(Comparator.comparingLong(buffer -> buffer.mSize))
                                .orElseThrow();
                largest.close();
                largest.mOnEvicted.run();
            }
            return mBuffers.contains(this);
        }

        /** Frees the bytes; does nothing if the buffer is closed. */
        public void close() {
            if (mBuffers.remove(this)) {
                mBytes -= mSize;
            }
        }
    }
}
