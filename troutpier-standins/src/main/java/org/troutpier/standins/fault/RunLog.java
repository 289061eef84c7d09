package org.troutpier.standins.fault;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;

/**
 * What a stand-in ran, so that it can be held against what callers were told. Thread safe by its
 * lock. Bounded: the oldest half is dropped when it is full. With {@code -Dstandin.ran=FILE} every
 * entry is also appended to a file, which outlives a killed process.
 */
public final class RunLog {

    /** Names the file. */
    private static final String FILE_PROPERTY = "standin.ran";

    /** How many entries are kept. */
    private static final int MOST = 400_000;

    /** The entries, oldest first. */
    private final List<Entry> mEntries = new ArrayList<>();

    /** The file, or null. */
    private final PrintWriter mFile;

    /** Creates an empty log. */
    public RunLog() {
        mFile = open(System.getProperty(FILE_PROPERTY));
    }

    /**
     * One thing that ran.
     *
     * @param request the id that the router gave
     * @param call the caller's own mark, empty for none
     * @param step what happened: {@code started}, {@code finished} or {@code cancelled}
     */
    public record Entry(String request, String call, String step) {}

    /**
     * Opens the file.
     *
     * @param name its name, or null
     * @return the file, or null
     */
    private static PrintWriter open(String name) {
        if (name == null) {
            return null;
        }
        try {
            return new PrintWriter(
                    Files.newBufferedWriter(
                            Path.of(name),
                            StandardCharsets.UTF_8,
                            StandardOpenOption.CREATE,
                            StandardOpenOption.APPEND));
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

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
        if (mFile != null) {
            mFile.println(request + "\t" + call + "\t" + step);
            mFile.flush();
        }
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
