package org.troutpier.common.event;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReferenceArray;

/**
 * A bounded ring of events: the newest overwrite the oldest, so its memory never grows. Thread
 * safe; recording takes no lock.
 */
public final class EventRing {

    /** The events, by their number modulo the size. */
    private final AtomicReferenceArray<Event> mEvents;

    /** The number of the next event. */
    private final AtomicLong mNext = new AtomicLong();

    /** Stamps the events. */
    private final HybridClock mClock;

    /** The process that records here. */
    private final String mProcess;

    /**
     * Creates a ring.
     *
     * @param process the process that records here
     * @param size how many events to keep
     * @param clock stamps the events
     */
    public EventRing(String process, int size, HybridClock clock) {
        mProcess = process;
        mEvents = new AtomicReferenceArray<>(size);
        mClock = clock;
    }

    /**
     * Records an event.
     *
     * @param kind what happened
     * @param subject what it is about
     * @param detail what else is worth knowing
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
     * @return the events
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

    /**
     * Returns the clock that stamps the events.
     *
     * @return the clock
     */
    public HybridClock clock() {
        return mClock;
    }
}
