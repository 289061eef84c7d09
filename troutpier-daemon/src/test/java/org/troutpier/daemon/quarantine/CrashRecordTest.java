package org.troutpier.daemon.quarantine;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.testng.annotations.Test;
import org.troutpier.common.http.Json;
import org.troutpier.common.id.UpstreamIncarnation;

/** Tests that records of the same request merge to the same result in any order. */
public final class CrashRecordTest {

    private static final int UPSTREAMS = 24;
    private static final int ROUNDS = 2000;

    private static UpstreamIncarnation upstream(int number) {
        return UpstreamIncarnation.of("upstream-" + number);
    }

    @Test
    public void mergingIsIndependentOfOrderAndRepetition() {
        long seed = System.nanoTime();
        System.out.println("CrashRecordTest seed " + seed);
        Random random = new Random(seed);
        for (int round = 0; round < ROUNDS; round++) {
            List<CrashRecord> received = new ArrayList<>();
            CrashRecord record = CrashRecord.NONE;
            for (int step = random.nextInt(40); step >= 0; step--) {
                boolean clears = random.nextInt(10) == 0;
                record =
                        clears
                                ? record.cleared()
                                : record.with(upstream(random.nextInt(UPSTREAMS)));
                received.add(record);
                received.add(CrashRecord.NONE.with(upstream(random.nextInt(UPSTREAMS))));
            }
            CrashRecord one = merged(received);
            received.addAll(List.copyOf(received));
            Collections.shuffle(received, random);
            assertEquals(merged(received), one);
        }
    }

    private static CrashRecord merged(List<CrashRecord> records) {
        return records.stream().reduce(CrashRecord.NONE, CrashRecord::merge);
    }

    @Test
    public void theSameCrashReportedTwiceCountsOnce() {
        CrashRecord one = CrashRecord.NONE.with(upstream(1));
        assertEquals(one.merge(CrashRecord.NONE.with(upstream(1))).ended().size(), 1);
        assertEquals(one.merge(CrashRecord.NONE.with(upstream(2))).ended().size(), 2);
    }

    @Test
    public void aLateReportDoesNotUndoAClear() {
        CrashRecord held = CrashRecord.NONE.with(upstream(1)).with(upstream(2));
        assertEquals(held.cleared().merge(held).ended(), Set.of());
        assertEquals(held.cleared().with(upstream(3)).merge(held).ended(), Set.of(upstream(3)));
    }

    @Test
    public void recordsAreReadBackAsWrittenAndInvalidOnesAreRejected() {
        CrashRecord record = CrashRecord.NONE.with(upstream(2)).cleared().with(upstream(1));
        assertEquals(Json.read(Json.bytes(record), CrashRecord.class), record);
        assertThrows(
                RuntimeException.class, () -> Json.read("[-1,[]]".getBytes(), CrashRecord.class));
        assertThrows(RuntimeException.class, () -> Json.read("[1]".getBytes(), CrashRecord.class));
    }
}
