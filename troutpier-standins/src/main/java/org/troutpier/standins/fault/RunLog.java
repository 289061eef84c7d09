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
 * Records what a stand-in ran, to be compared with the outcomes that callers received. Thread safe;
 * guarded by its own lock. Bounded: when the log is full, the oldest half is dropped. With {@code
 * -Dstandin.ran=FILE} every entry is also appended to a file, which survives a killed process.
 */
public final class RunLog {

    private static final String FILE_PROPERTY = "standin.ran";

    private static final int MAX_ENTRIES = 400_000;

    private final List<Entry> mEntries = new ArrayList<>();

    private final PrintWriter mFile;

    /** Creates an empty log. */
    public RunLog() {
        mFile = open(System.getProperty(FILE_PROPERTY));
    }

    /**
     * A step of a request.
     *
     * @param request the id assigned by the router
     * @param call the id assigned by the caller, empty for none
     * @param step what happened: {@code started}, {@code finished} or {@code cancelled}
     */
    public record Entry(String request, String call, String step) {}

    /**
     * Opens the file that entries are appended to.
     *
     * @param name its name, or null for none
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
     * @param request the id assigned by the router
     * @param call the id assigned by the caller, empty for none
     * @param step what happened
     */
    public synchronized void add(String request, String call, String step) {
        if (mEntries.size() >= MAX_ENTRIES) {
            mEntries.subList(0, MAX_ENTRIES / 2).clear();
        }
        mEntries.add(new Entry(request, call, step));
        if (mFile != null) {
            mFile.println(request + "\t" + call + "\t" + step);
            mFile.flush();
        }
    }

    /**
     * Returns the entries.
     *
     * @return a copy, oldest first
     */
    public synchronized List<Entry> all() {
        return List.copyOf(mEntries);
    }
}
