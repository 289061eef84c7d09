package org.troutpier.daemon.limit;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;
import org.troutpier.common.id.PartnerId;

/** Sums of reported arrivals. */
public final class RecentArrivalsTest {

    private static RecentArrivals.Entry entry(String service, String organisation, double calls) {
        return new RecentArrivals.Entry(service, 1, new PartnerId(organisation), calls);
    }

    @Test
    public void arrivalsOfOneFlowAreAdded() {
        RecentArrivals sum =
                RecentArrivals.of(List.of(entry("web", "a", 2), entry("portal", "a", 7)))
                        .plus(List.of(RecentArrivals.of(List.of(entry("web", "a", 3)))));
        assertEquals(sum.entries().size(), 2);
        assertTrue(sum.entries().contains(entry("web", "a", 5)));
    }

    @Test
    public void aSumOfManyOrganisationsIsBoundedAndKeepsAllCalls() {
        List<RecentArrivals.Entry> entries = new ArrayList<>();
        for (int organisation = 1; organisation <= 1000; organisation++) {
            entries.add(entry("web", "organisation-" + organisation, organisation));
        }
        RecentArrivals sum = RecentArrivals.of(entries);
        assertTrue(sum.entries().size() <= RecentArrivals.MAX_ENTRIES);
        assertTrue(sum.entries().contains(entry("web", "organisation-1000", 1000)));
        double calls = sum.entries().stream().mapToDouble(RecentArrivals.Entry::calls).sum();
        assertEquals(calls, 500_500, 1e-6);
    }
}
