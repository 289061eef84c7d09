package org.troutpier.standins.fault;

import java.util.ArrayList;
import java.util.List;

/**
 * What a stand-in ran, so that it can be held against what callers were told. Thread safe by its
 * lock. Bounded: the oldest half is dropped when it is full.
 */
public final class RunLog {

    /** How many entries are kept. */
    private static final int MOST = 400_000;

    /** The entries, oldest first. */
    private final List<Entry> mEntries = new ArrayList<>();

    /**
     * One thing that ran.
     *
     * @param request the id that the router gave
     * @param call the caller's own mark, empty for none
     * @param step what happened: {@code started}, {@code finished} or {@code cancelled}
     */
    public record Entry(String request, String call, String step) {}

    /**
     * Adds an entry.
     *
     * @param request the id that the router gave
     * @param call the caller's own mark, empty for none
     * @param step what happened
     */
    public synchronized void add(String request, String call, String step) {
        if (mEntries.size() >= MOST) {
            mEntries.subList(0, MOST / 2).clear();
        }
        mEntries.add(new Entry(request, call, step));
    }

    /**
     * Lists the entries.
     *
     * @return a copy, oldest first
     */
    public synchronized List<Entry> all() {
        return List.copyOf(mEntries);
    }
}
