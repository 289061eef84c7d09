package org.troutpier.daemon.limit;

import java.util.Random;

/** Random numbers of arrivals for simulations in virtual time. */
public final class Arrivals {

    private Arrivals() {}

    /** Returns a Poisson-distributed random number. */
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
