package org.troutpier.daemon.cluster;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.troutpier.daemon.rows.RowStore.Row;
import org.troutpier.daemon.rows.TableFollower;

/** The keys of a table, and since when they are known without a gap. */
final class TableKeys implements TableFollower.Listener {

    final Set<String> mKeys = new HashSet<>();
    long mUnbrokenSince;

    @Override
    public void onConfirmed(boolean own, long at, long since) {
        mUnbrokenSince = since;
    }

    @Override
    public void onSnapshot(List<Row> rows) {
        mKeys.clear();
        onChanges(rows);
    }

    @Override
    public void onChanges(List<Row> rows) {
        for (Row row : rows) {
            if (row.deleted()) {
                mKeys.remove(row.key());
            } else {
                mKeys.add(row.key());
            }
        }
    }

    @Override
    public void onStoreUnavailable() {}
}
