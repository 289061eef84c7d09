package org.troutpier.daemon.limit;

import java.util.Random;

/** How many requests come in a step of virtual time. */
public final class Arrivals {

    private Arrivals() {}

    /** Draws a Poisson number with a mean. */
    public static int poisson(Random random, double mean) {
        double limit = Math.exp(-mean);
        int count = 0;
        for (double product = random.nextDouble();
                product > limit;
                product *= random.nextDouble()) {
            count++;
        }
        return count;
    }
}
