package org.troutpier.standins.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.troutpier.standins.fault.LinkFault;

/**
 * A fault schedule derived from a seed. Immutable and thread safe. Faults may overlap and repeat,
 * as they do in production.
 *
 * @param steps the faults, ordered by time
 */
public record FaultPlan(List<Step> steps) {

    private static final double MEAN_INTERVAL_MILLIS = 700;

    private static final String[] PROCESS_FAULTS = {"kill", "freeze", "stop"};

    private static final String[] TABLE_FAULTS = {"outage", "hang", "delay", "lost-ack"};

    private static final String[] PREFILL_FAULTS = {"stall", "full", "wrong-id", "outage"};

    private static final String[] DECODE_FAULTS = {
        "cut", "full", "wrong-id", "leaving", "lost-ack", "hang"
    };

    private static final String[] SERVICE_FAULTS = {"lost-ack", "full", "delay", "hang", "leaving"};

    /** Targets of link faults other than the routers. */
    private static final String[] LINKS = {
        "table",
        "objects",
        "instances",
        "prefill-1",
        "prefill-2",
        "decode-1",
        "decode-2",
        "status-1",
        "status-2"
    };

    /**
     * One fault.
     *
     * @param atMillis start time relative to the start of the run
     * @param action {@code kill}, {@code freeze}, {@code stop}, {@code fault} or {@code link}
     * @param target the process, or for {@code link} the one whose connections are affected
     * @param kind the kind of fault for {@code fault} and {@code link}, {@code -} otherwise
     * @param millis its duration
     * @param amount its strength; the unit depends on the kind
     */
    public record Step(
            long atMillis, String action, String target, String kind, int millis, int amount) {

        /** {@inheritDoc} */
        @Override
        public String toString() {
            return String.format(
                    Locale.ROOT,
                    "%d %s %s %s %d %d",
                    atMillis,
                    action,
                    target,
                    kind,
                    millis,
                    amount);
        }
    }

    /**
     * Creates the plan of a seed. The same arguments always give the same plan.
     *
     * @param seed the seed of the random generator
     * @param seconds how long faults are injected
     * @param routers the number of routers
     * @return the plan
     */
    public static FaultPlan of(long seed, int seconds, int routers) {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        List<Step> steps = new ArrayList<>();
        final double millis = 1000;
        double at = MEAN_INTERVAL_MILLIS;
        while (at < seconds * millis) {
            steps.add(step((long) at, routers, random));
            at += -Math.log(1 - random.nextDouble()) * MEAN_INTERVAL_MILLIS;
        }
        return new FaultPlan(List.copyOf(steps));
    }

    private static Step step(long at, int routers, UniformRandomProvider random) {
        final int shortest = 300;
        final int spread = 3500;
        final int kinds = 10;
        final int mostTokens = 12;
        int millis = shortest + random.nextInt(spread);
        int amount = random.nextInt(mostTokens);
        int delay = random.nextInt(shortest);
        return switch (random.nextInt(kinds)) {
            case 0, 1 ->
                    new Step(
                            at,
                            pick(PROCESS_FAULTS, random),
                            "router-" + (1 + random.nextInt(routers)),
                            "-",
                            millis,
                            0);
            case 2 -> {
                String[] engines = {
                    "prefill-1", "prefill-2", "decode-1", "decode-2", "status-1", "status-2"
                };
                String action = random.nextBoolean() ? "kill" : "freeze";
                yield new Step(at, action, pick(engines, random), "-", millis, 0);
            }
            case 3 -> new Step(at, "fault", "table", pick(TABLE_FAULTS, random), millis, delay);
            case 4 -> {
                String target = random.nextBoolean() ? "objects" : "instances";
                yield new Step(at, "fault", target, pick(TABLE_FAULTS, random), millis, delay);
            }
            case 5 ->
                    new Step(
                            at,
                            "fault",
                            "prefill-" + (1 + random.nextInt(2)),
                            pick(PREFILL_FAULTS, random),
                            millis,
                            amount);
            case 6 ->
                    new Step(
                            at,
                            "fault",
                            "decode-" + (1 + random.nextInt(2)),
                            pick(DECODE_FAULTS, random),
                            millis,
                            amount);
            case 7 ->
                    new Step(
                            at,
                            "fault",
                            "status-" + (1 + random.nextInt(2)),
                            pick(SERVICE_FAULTS, random),
                            millis,
                            delay);
            default -> link(at, routers, millis, 1 + delay, random);
        };
    }

    private static Step link(
            long at, int routers, int millis, int amount, UniformRandomProvider random) {
        String target =
                random.nextBoolean()
                        ? pick(LINKS, random)
                        : "router-" + (1 + random.nextInt(routers));
        String kind = pick(LinkFault.values(), random).label();
        return new Step(at, "link", target, kind, millis, amount);
    }

    private static <T> T pick(T[] words, UniformRandomProvider random) {
        return words[random.nextInt(words.length)];
    }
}
