package org.troutpier.standins.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.troutpier.standins.fault.LinkFault;

/**
 * A plan of faults that the seed fixes: when, what and where. Immutable and thread safe. Faults
 * overlap and come twice, as they do.
 *
 * @param steps the faults in order of time
 */
public record FaultPlan(List<Step> steps) {

    /** The mean time between two faults, milliseconds. */
    private static final double MEAN_GAP = 700;

    /** The faults at processes. */
    private static final String[] PROCESS_FAULTS = {"kill", "freeze", "stop"};

    /** The faults of the table. */
    private static final String[] TABLE_FAULTS = {"outage", "hang", "delay", "lost-ack"};

    /** The faults of prefill engines. */
    private static final String[] PREFILL_FAULTS = {"stall", "full", "wrong-id", "outage"};

    /** The faults of decode engines. */
    private static final String[] DECODE_FAULTS = {
        "cut", "full", "wrong-id", "leaving", "lost-ack", "hang"
    };

    /** The faults of services. */
    private static final String[] SERVICE_FAULTS = {"lost-ack", "full", "delay", "hang", "leaving"};

    /** Whose connections are harmed, besides those of callers to routers. */
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
     * @param atMillis when, from the start
     * @param action {@code kill}, {@code freeze}, {@code stop}, {@code fault} or {@code link}
     * @param target the process, or for {@code link} the one whose connections are harmed
     * @param kind the fault's kind, for {@code fault} and {@code link}; else {@code -}
     * @param millis how long it lasts
     * @param amount how strong it is
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
     * Makes a plan.
     *
     * @param seed fixes everything
     * @param seconds how long faults come
     * @param routers how many routers there are
     * @return the plan
     */
    public static FaultPlan of(long seed, int seconds, int routers) {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        List<Step> steps = new ArrayList<>();
        final double millis = 1000;
        double at = MEAN_GAP;
        while (at < seconds * millis) {
            steps.add(step((long) at, routers, random));
            at += -Math.log(1 - random.nextDouble()) * MEAN_GAP;
        }
        return new FaultPlan(List.copyOf(steps));
    }

    /**
     * Draws one fault.
     *
     * @param at when
     * @param routers how many routers there are
     * @param random the source of chance
     * @return the fault
     */
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
                            any(PROCESS_FAULTS, random),
                            "router-" + (1 + random.nextInt(routers)),
                            "-",
                            millis,
                            0);
            case 2 -> {
                String[] engines = {
                    "prefill-1", "prefill-2", "decode-1", "decode-2", "status-1", "status-2"
                };
                String action = random.nextBoolean() ? "kill" : "freeze";
                yield new Step(at, action, any(engines, random), "-", millis, 0);
            }
            case 3 -> new Step(at, "fault", "table", any(TABLE_FAULTS, random), millis, delay);
            case 4 -> {
                String target = random.nextBoolean() ? "objects" : "instances";
                yield new Step(at, "fault", target, any(TABLE_FAULTS, random), millis, delay);
            }
            case 5 ->
                    new Step(
                            at,
                            "fault",
                            "prefill-" + (1 + random.nextInt(2)),
                            any(PREFILL_FAULTS, random),
                            millis,
                            amount);
            case 6 ->
                    new Step(
                            at,
                            "fault",
                            "decode-" + (1 + random.nextInt(2)),
                            any(DECODE_FAULTS, random),
                            millis,
                            amount);
            case 7 ->
                    new Step(
                            at,
                            "fault",
                            "status-" + (1 + random.nextInt(2)),
                            any(SERVICE_FAULTS, random),
                            millis,
                            delay);
            default -> link(at, routers, millis, 1 + delay, random);
        };
    }

    /**
     * Draws a fault of connections.
     *
     * @param at when
     * @param routers how many routers there are
     * @param millis how long it lasts
     * @param amount how strong it is
     * @param random the source of chance
     * @return the fault
     */
    private static Step link(
            long at, int routers, int millis, int amount, UniformRandomProvider random) {
        String target =
                random.nextBoolean()
                        ? any(LINKS, random)
                        : "router-" + (1 + random.nextInt(routers));
        String kind = any(LinkFault.values(), random).label();
        return new Step(at, "link", target, kind, millis, amount);
    }

    /**
     * Draws one of several.
     *
     * @param <T> what they are
     * @param words what to draw from
     * @param random the source of chance
     * @return one of them
     */
    private static <T> T any(T[] words, UniformRandomProvider random) {
        return words[random.nextInt(words.length)];
    }
}
