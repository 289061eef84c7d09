package org.troutpier.common.eventstream;

import java.io.ByteArrayOutputStream;
import org.troutpier.common.result.ResultCode;
import org.troutpier.common.result.TroutpierException;

/**
 * Splits a stream of server-sent events at its blank lines. A line ends with CR LF, LF or CR, also
 * mixed within one stream (HTML standard, "Interpreting an event stream"). Confined to one thread.
 * Invariants: the bytes passed on are those received; which events are passed on does not depend on
 * how the bytes are divided into parts; an event is passed on with the byte that completes it.
 */
public final class ServerSentEventSplitter {

    /** The longest event, bytes up to the end of its last line. */
    public static final int MAX_EVENT_BYTES = 65_536;

    /** Received bytes that are not yet a complete event. */
    private final ByteArrayOutputStream mPending = new ByteArrayOutputStream();

    /** The length of the current event so far, bytes. */
    private int mEventBytes;

    /** Whether the current line has no bytes yet. */
    private boolean mLineEmpty = true;

    /** Whether the last byte was a CR, so that a following LF belongs to the same line end. */
    private boolean mAfterCarriageReturn;

    /** Whether that CR ended an event that was passed on already. */
    private boolean mEventPassedOn;

    /** Whether the next event is the first of the stream. */
    private boolean mFirst = true;

    /** Receives the parts of a stream in order. */
    @FunctionalInterface
    public interface Listener {

        /** Called with each event that is complete; its bytes include the blank line. */
        void onEvent(ServerSentEvent event);

        /** Called with an LF that belongs to the line end of the event that was passed on last. */
        default void onTrailingLineFeed() {}
    }

    /**
     * Adds received bytes and passes on each event that is complete.
     *
     * @param bytes the received bytes
     * @throws TroutpierException once an event is longer than {@link #MAX_EVENT_BYTES}, whether or
     *     not it has an end; the splitter must not be used further
     */
    public void feed(byte[] bytes, Listener listener) {
        int start = 0;
        int at = 0;
        while (at < bytes.length) {
            byte value = bytes[at++];
            boolean endsCrLf = value == '\n' && mAfterCarriageReturn;
            mAfterCarriageReturn = value == '\r';
            if (endsCrLf) {
                if (mEventPassedOn) {
                    start = at;
                    listener.onTrailingLineFeed();
                } else {
                    mEventBytes++;
                }
            } else if (value != '\n' && value != '\r') {
                mLineEmpty = false;
                countEventByte();
            } else if (!mLineEmpty) {
                mLineEmpty = true;
                mEventBytes++;
            } else {
                // a blank line: the event is complete, with an LF that follows a CR in this part
                if (mAfterCarriageReturn && at < bytes.length && bytes[at] == '\n') {
                    mAfterCarriageReturn = false;
                    at++;
                }
                mPending.write(bytes, start, at - start);
                start = at;
                passOn(listener);
                continue;
            }
            mEventPassedOn = false;
        }
        mPending.write(bytes, start, bytes.length - start);
    }

    private void countEventByte() {
        if (++mEventBytes > MAX_EVENT_BYTES) {
            throw new TroutpierException(
                    ResultCode.UPSTREAM_FAILED,
                    "an event is longer than " + MAX_EVENT_BYTES + " bytes");
        }
    }

    private void passOn(Listener listener) {
        ServerSentEvent event = ServerSentEvent.of(mPending.toByteArray(), mFirst);
        mPending.reset();
        mEventBytes = 0;
        mFirst = false;
        mEventPassedOn = true;
        listener.onEvent(event);
    }

    /** Returns whether the received bytes end in the middle of an event. */
    public boolean hasPartialEvent() {
        return mPending.size() > 0;
    }
}
