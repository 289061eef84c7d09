package org.troutpier.standins.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.troutpier.standins.platform.VersionedRows.Key;
import org.troutpier.standins.platform.VersionedRows.Page;
import org.troutpier.standins.platform.VersionedRows.Row;

/** What who follows a table may rely on while others write it. */
public final class VersionedRowsTest {

    private static final String TABLE = "members";
    private static final int WRITES = 500;

    private VersionedRows mRows;

    @BeforeMethod
    void start() {
        mRows = new VersionedRows();
    }

    @Test
    public void whoFollowsChangesMissesNoneWhileOthersWrite() {
        CompletableFuture<Void> writer = CompletableFuture.runAsync(this::write);
        Set<String> seen = new TreeSet<>();
        long version = 0;
        while (version < WRITES) {
            Page page = mRows.changes(TABLE, version).orElseThrow();
            page.rows().forEach(row -> seen.add(row.key().key()));
            version = page.version();
        }
        writer.join();
        assertEquals(seen.size(), WRITES, "rows that were seen");
    }

    @Test
    public void aTableReadWholeHoldsAllRowsUpToItsVersion() {
        CompletableFuture<Void> writer = CompletableFuture.runAsync(this::write);
        Page page;
        do {
            page = mRows.read(TABLE, "", "", WRITES);
            assertEquals(page.rows().size(), page.version(), "rows of the page");
        } while (page.version() < WRITES);
        writer.join();
    }

    @Test
    public void aForgottenHistoryIsNotAnswered() {
        mRows.put(new Key(TABLE, "", "one"), "");
        mRows.forget();
        assertEquals(mRows.changes(TABLE, 0), Optional.empty());
        mRows.drop(new Key(TABLE, "", "one"));
        Page page = mRows.changes(TABLE, 1).orElseThrow();
        assertTrue(page.rows().stream().allMatch(Row::deleted));
        assertEquals(page.version(), 2);
    }

    private void write() {
        for (int number = 1; number <= WRITES; number++) {
            mRows.put(new Key(TABLE, "", "row-" + number), "");
        }
    }
}
