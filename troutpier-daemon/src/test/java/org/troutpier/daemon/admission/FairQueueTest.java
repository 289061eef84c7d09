package org.troutpier.daemon.admission;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.testng.Reporter;
import org.testng.annotations.Test;
import org.troutpier.common.id.PartnerId;

public class FairQueueTest {

    private static final PartnerId ASSOCIATION = new PartnerId("association");
    private static final PartnerId TRUST = new PartnerId("trust");

    @Test
    public void servesTheEarliestDeadlineOfAPartnerFirst() {
        FairQueue<String> queue = new FairQueue<>();
        queue.add(TRUST, "late", 30, 1);
        queue.add(TRUST, "early", 10, 1);
        queue.add(TRUST, "early too", 10, 1);
        assertEquals(queue.poll(partner -> 1), Optional.of("early"));
        assertEquals(queue.poll(partner -> 1), Optional.of("early too"));
        assertEquals(queue.poll(partner -> 1), Optional.of("late"));
        assertEquals(queue.poll(partner -> 1), Optional.empty());
    }

    @Test
    public void servesPartnersByWeightRegardlessOfQueueLength() {
        FairQueue<PartnerId> queue = new FairQueue<>();
        for (int item = 0; item < 1000; item++) {
            queue.add(ASSOCIATION, ASSOCIATION, item, 1);
        }
        for (int item = 0; item < 100; item++) {
            queue.add(TRUST, TRUST, 1_000_000, 1);
        }
        int trust = 0;
        for (int served = 0; served < 100; served++) {
            PartnerId next = queue.poll(partner -> partner.equals(TRUST) ? 25 : 75).orElseThrow();
            trust += next.equals(TRUST) ? 1 : 0;
        }
        assertEquals(trust, 25);
    }

    @Test
    public void idlePartnerAccumulatesNoCredit() {
        FairQueue<PartnerId> queue = new FairQueue<>();
        for (int item = 0; item < 500; item++) {
            queue.add(ASSOCIATION, ASSOCIATION, item, 1);
        }
        for (int served = 0; served < 300; served++) {
            queue.poll(partner -> 1);
        }
        for (int item = 0; item < 100; item++) {
            queue.add(TRUST, TRUST, item, 1);
        }
        int trust = 0;
        for (int served = 0; served < 20; served++) {
            trust += queue.poll(partner -> 1).orElseThrow().equals(TRUST) ? 1 : 0;
        }
        assertTrue(trust <= 11, "the idle partner took " + trust + " of 20");
    }

    @Test
    public void randomOperationsLoseNoEntries() {
        long seed = System.nanoTime();
        Reporter.log("seed " + seed, true);
        Random random = new Random(seed);
        FairQueue<Integer> queue = new FairQueue<>();
        Map<Integer, PartnerId> model = new HashMap<>();
        for (int step = 0; step < 400_000; step++) {
            PartnerId partner = random.nextInt(4) == 0 ? TRUST : ASSOCIATION;
            int act = random.nextInt(3);
            if (act == 0 || model.isEmpty()) {
                Integer item = step;
                queue.add(partner, item, random.nextInt(1000), 1);
                model.put(item, partner);
            } else if (act == 1) {
                Integer polled = queue.poll(any -> 50).orElseThrow();
                assertTrue(model.remove(polled) != null, "seed " + seed + " step " + step);
            } else if (model.size() < 50) {
                Integer item = model.keySet().iterator().next();
                assertTrue(queue.remove(model.remove(item), item), "seed " + seed);
            }
            assertEquals(queue.size(), model.size(), "seed " + seed + " step " + step);
        }
    }
}
