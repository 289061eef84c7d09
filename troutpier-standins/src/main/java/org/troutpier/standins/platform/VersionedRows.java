package org.troutpier.standins.platform;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * A table service in memory: rows with versions from one counter, transactions under conditions,
 * and a history of changes that may be forgotten. Thread safe by its lock. Invariant: a transaction
 * takes effect whole or not at all, and each that does raises the version.
 */
public final class VersionedRows {

    /** The live rows by key. */
    private final Map<Key, Row> mRows = new TreeMap<>(Key.ORDER);

    /** The changes in order. */
    private final List<Row> mHistory = new ArrayList<>();

    /** The newest version. */
    private long mVersion;

    /** The newest version whose history is forgotten. */
    private long mForgotten;

    /** How many times the rows have come back from a copy, and one. */
    private long mEra = 1;

    /**
     * All that is kept, as it stood at one moment. Immutable and thread safe.
     *
     * @param rows the live rows
     * @param history the changes in order
     * @param version the newest version
     * @param forgotten the newest version whose history is forgotten
     */
    public record Copy(List<Row> rows, List<Row> history, long version, long forgotten) {}

    /**
     * Names a row. Immutable and thread safe.
     *
     * @param table its table
     * @param part its part
     * @param key its key
     */
    public record Key(String table, String part, String key) {

        /** Orders rows by table, part and key. */
        static final Comparator<Key> ORDER =
                Comparator.comparing(Key::table).thenComparing(Key::part).thenComparing(Key::key);
    }

    /**
     * A row, or a change of one. Immutable and thread safe.
     *
     * @param key its name
     * @param value its value; empty for a deleted row
     * @param version the version of its last change
     * @param deleted whether it was deleted
     */
    public record Row(Key key, String value, long version, boolean deleted) {}

    /**
     * Rows as they stood at one version. Immutable and thread safe. Invariant: no row of a version
     * up to this one is missing, so who goes on after it misses nothing.
     *
     * @param rows the rows
     * @param version the newest version when they were read
     */
    public record Page(List<Row> rows, long version) {}

    /**
     * A condition of a transaction. Immutable and thread safe.
     *
     * @param key the row
     * @param version the version that it must have; 0 for a row that must not be there
     */
    public record Condition(Key key, long version) {}

    /**
     * A row to write. Immutable and thread safe.
     *
     * @param key the row
     * @param value its new value
     */
    public record Write(Key key, String value) {}

    /**
     * Changes rows, all or none.
     *
     * @param conditions what must hold
     * @param writes the rows to write
     * @param drops the rows to delete
     * @return whether the conditions held
     */
    public synchronized boolean transact(
            List<Condition> conditions, List<Write> writes, List<Key> drops) {
        for (Condition condition : conditions) {
            if (version(condition.key()) != condition.version()) {
                return false;
            }
        }
        mVersion++;
        writes.forEach(write -> change(new Row(write.key(), write.value(), mVersion, false)));
        drops.forEach(key -> change(new Row(key, "", mVersion, true)));
        return true;
    }

    /**
     * Writes one row whatever its version.
     *
     * @param key the row
     * @param value its new value
     */
    public void put(Key key, String value) {
        transact(List.of(), List.of(new Write(key, value)), List.of());
    }

    /**
     * Deletes one row whatever its version.
     *
     * @param key the row
     */
    public void drop(Key key) {
        transact(List.of(), List.of(), List.of(key));
    }

    /**
     * Stores a change.
     *
     * @param row the row as it is now
     */
    private void change(Row row) {
        if (row.deleted()) {
            mRows.remove(row.key());
        } else {
            mRows.put(row.key(), row);
        }
        mHistory.add(row);
    }

    /**
     * Returns a row's version.
     *
     * @param key the row
     * @return its version; 0 for a row that is not there
     */
    public synchronized long version(Key key) {
        Row row = mRows.get(key);
        return row == null ? 0 : row.version();
    }

    /**
     * Returns a row.
     *
     * @param key the row
     * @return the row, or empty where it is not there
     */
    public synchronized Optional<Row> row(Key key) {
        return Optional.ofNullable(mRows.get(key));
    }

    /**
     * Returns rows of one part.
     *
     * @param table the table
     * @param part the part
     * @param from the first key
     * @param most how many rows at most
     * @return the rows, keys rising, and the version at which they stood so
     */
    public synchronized Page read(String table, String part, String from, int most) {
        List<Row> rows =
                mRows.values().stream()
                        .filter(row -> row.key().table().equals(table))
                        .filter(row -> row.key().part().equals(part))
                        .filter(row -> row.key().key().compareTo(from) >= 0)
                        .limit(most)
                        .toList();
        return new Page(rows, mVersion);
    }

    /**
     * Returns the changes of a table after a version.
     *
     * @param table the table
     * @param after the version
     * @return the changes in order and the version up to which they go, or empty where that history
     *     is forgotten or that version was not given out
     */
    public synchronized Optional<Page> changes(String table, long after) {
        if (after < mForgotten || after > mVersion) {
            return Optional.empty();
        }
        List<Row> rows =
                mHistory.stream()
                        .filter(row -> row.version() > after && row.key().table().equals(table))
                        .toList();
        return Optional.of(new Page(rows, mVersion));
    }

    /**
     * Copies all that is kept.
     *
     * @return the copy
     */
    public synchronized Copy copy() {
        return new Copy(List.copyOf(mRows.values()), List.copyOf(mHistory), mVersion, mForgotten);
    }

    /**
     * Comes back from a copy: what was changed since is gone, and its versions are given out again.
     *
     * @param copy the copy
     */
    public synchronized void restore(Copy copy) {
        mRows.clear();
        copy.rows().forEach(row -> mRows.put(row.key(), row));
        mHistory.clear();
        mHistory.addAll(copy.history());
        mVersion = copy.version();
        mForgotten = copy.forgotten();
        mEra++;
    }

    /**
     * Returns how many times the rows have come back from a copy, and one.
     *
     * @return the era
     */
    public synchronized long era() {
        return mEra;
    }

    /** Forgets the history. */
    public synchronized void forget() {
        mForgotten = mVersion;
        mHistory.clear();
    }

    /**
     * Returns the newest version.
     *
     * @return the version
     */
    public synchronized long version() {
        return mVersion;
    }
}
