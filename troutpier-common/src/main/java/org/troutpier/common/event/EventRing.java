package org.troutpier.common.event;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReferenceArray;

/**
 * A ring buffer of events: the newest overwrite the oldest, so its memory is bounded. Thread safe;
 * recording is lock-free.
 */
public final class EventRing {

    /** The events, each at its number modulo the size. */
    private final AtomicReferenceArray<Event> mEvents;

    /** The number of the next event. */
    private final AtomicLong mNext = new AtomicLong();

    private final HybridClock mClock;

    private final String mProcess;

    /** Creates a ring. */
    public EventRing(String process, int size, HybridClock clock) {
        mProcess = process;
        mEvents = new AtomicReferenceArray<>(size);
        mClock = clock;
    }

    /**
     * Records an event.
     *
     * @param kind what happened
     * @param subject the request, change or upstream it is about
     * @param detail further details; empty for none
     */
    public void record(String kind, String subject, String detail) {
        Event event = new Event(mClock.next(), mProcess, kind, subject, detail);
        int slot = (int) (mNext.getAndIncrement() % mEvents.length());
        mEvents.set(slot, event);
    }

    /**
     * Lists the events about a subject, oldest first.
     *
     * @param subject the subject, or empty for all
     */
    public List<Event> eventsAbout(String subject) {
        List<Event> found = new ArrayList<>();
        for (int slot = 0; slot < mEvents.length(); slot++) {
            Event event = mEvents.get(slot);
            if (event != null && (subject.isEmpty() || event.subject().equals(subject))) {
                found.add(event);
            }
        }
        found.sort((a, b) -> Long.compare(a.stamp(), b.stamp()));
        return found;
    }

    /** Returns the clock that stamps the events. */
    public HybridClock clock() {
        return mClock;
    }
}
