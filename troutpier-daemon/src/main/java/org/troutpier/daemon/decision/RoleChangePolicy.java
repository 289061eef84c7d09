package org.troutpier.daemon.decision;

import org.troutpier.daemon.cluster.Demand;

/**
 * Decides when one of a service's engines should change its role. A change is an investment: the
 * engine is missing until its runs have ended and it is back, and what is gained depends on how
 * long the load lasts, which nobody knows. So the loss of staying is added up, request by request,
 * and a change is made once it has reached the price of the change, as one who rents buys once the
 * rent has come to the price: a burst that ends before it pays changes nothing, and a mix that has
 * really shifted is followed.
 *
 * <p>It answers loads that come in bursts of some seconds. With a rule that went by the busier side
 * alone, an engine was taken from decoding in a burst of five seconds and was missing for eighteen,
 * through two more bursts (quiet-day worth 0.59; without any change 0.75).
 *
 * <p>Readers that would be full in no burst are spare, and change without that ({@link
 * PrefillSurplus}): nothing is lost while they are missing.
 *
 * <p>Confined to the control thread. Invariants: no side is left without an engine; a change always
 * makes room for more of the mix that is measured; before anything was asked changes cost nothing.
 */
public final class RoleChangePolicy {

    /** Which part of the engines reads prompts before anything was asked. */
    private static final double FIRST_PART = 1 / 3.0;

    /**
     * How much must have been lost at least before a change, requests: fewer are within what the
     * measured demand is off by.
     */
    private static final double LEAST_LOSS = 3;

    /** The longest time that one look accounts for, milliseconds: two of its usual pauses. */
    private static final long LONGEST_LOOK_MILLIS = 1000;

    /** How much a new change counts in the mean time of changes. */
    private static final double NEW_CHANGE = 0.5;

    /**
     * For how long there must have been requests before the demand is trusted, milliseconds. Short
     * runs end first, so soon after a start a run seems to take half of the memory that it takes,
     * and decode engines seem idle: one of two was taken away after a loss of power of all routers,
     * and was back after 14 s.
     */
    private static final double TRUSTED_MILLIS = Demand.DECAY_MILLIS;

    /**
     * For how long there must have been requests before spare readers are taken away, milliseconds.
     * As long as the longer runs take, so that as many end as begin.
     */
    private static final double LEVELLED_MILLIS = 5000;

    /** For how long there have been requests, milliseconds. */
    private double mAsked;

    /** When the demand was last looked at, milliseconds; 0 for never. */
    private long mLooked;

    /** How many engines that read prompts are spare, as of the last look. */
    private int mSpare;

    /** What was lost for want of one more engine that reads, requests. */
    private double mLostReading;

    /** What was lost for want of one more engine that decodes, requests. */
    private double mLostDecoding;

    /** How long changes took, milliseconds; 0 before the first. */
    private double mChangeMillis;

    /** What to do. */
    public enum Step {
        /** Leave the roles as they are. */
        STAY,
        /** Have one more engine read prompts. */
        MORE_PREFILL,
        /** Have one more engine decode. */
        MORE_DECODE
    }

    /**
     * How a service's engines stand. Immutable and thread safe.
     *
     * @param prefill how many read prompts
     * @param decode how many decode
     * @param memoryTokens how much memory each has
     * @param switchMillis how long a change takes once an engine is empty, milliseconds
     * @param usedTokens what runs at those that decode, tokens
     */
    public record EnginePool(
            int prefill, int decode, long memoryTokens, long switchMillis, long usedTokens) {

        /**
         * Returns how many engines there are.
         *
         * @return the count
         */
        int engines() {
            return prefill + decode;
        }
    }

    /**
     * Looks whether a change is due.
     *
     * @param now the monotonic clock, milliseconds
     * @param staffing how the engines stand
     * @param demand what callers ask for
     * @return what to do
     */
    public Step evaluate(long now, EnginePool staffing, Demand demand) {
        mSpare = 0;
        double passed = mLooked == 0 ? 0 : Math.min(LONGEST_LOOK_MILLIS, now - mLooked);
        mLooked = now;
        if (staffing.decode() == 0) {
            return staffing.engines() > 0 ? Step.MORE_DECODE : Step.STAY;
        }
        if (staffing.engines() < 2) {
            return Step.STAY;
        }
        boolean idle = demand.requests() < 1;
        mAsked = idle ? 0 : mAsked + passed;
        boolean measured = demand.hasEnoughRuns() && demand.reading().hasEnoughSamples();
        if (!idle && measured && mAsked >= LEVELLED_MILLIS) {
            mSpare = PrefillSurplus.spare(staffing, demand, mAsked);
            if (mSpare > 0) {
                return Step.MORE_DECODE;
            }
        }
        if (!idle && measured && mAsked >= TRUSTED_MILLIS) {
            return weigh(passed, staffing, demand);
        }
        return idle || staffing.prefill() == 0 ? first(staffing) : Step.STAY;
    }

    /**
     * Returns how many engines are to change at once.
     *
     * @return as many as are spare; otherwise one, since each change is paid for
     */
    public int engineCount() {
        return Math.max(1, mSpare);
    }

    /**
     * Records how long a change took, from its order until the engine was back.
     *
     * @param millis the time
     */
    public void recordChange(long millis) {
        mChangeMillis += (millis - mChangeMillis) * (mChangeMillis == 0 ? 1 : NEW_CHANGE);
    }

    /** Begins anew after a change or an attempt at one. */
    public void reset() {
        mLostReading = 0;
        mLostDecoding = 0;
    }

    /**
     * Tells what the last looks came to, for the log.
     *
     * @return the losses so far, requests
     */
    public String lossSummary() {
        return "lostReading="
                + Math.round(mLostReading)
                + " lostDecoding="
                + Math.round(mLostDecoding);
    }

    /**
     * Returns the step towards the split with which a service begins. Nobody is served yet, so it
     * costs nothing.
     *
     * @param staffing how the engines stand
     * @return what to do
     */
    private static Step first(EnginePool staffing) {
        long wanted = Math.max(1, Math.round(staffing.engines() * FIRST_PART));
        if (wanted == staffing.prefill()) {
            return Step.STAY;
        }
        return wanted > staffing.prefill() ? Step.MORE_PREFILL : Step.MORE_DECODE;
    }

    /**
     * Adds up what is lost and compares it with the price of a change.
     *
     * @param passed how much time to account for, milliseconds
     * @param staffing how the engines stand
     * @param demand what callers ask for
     * @return what to do
     */
    private Step weigh(double passed, EnginePool staffing, Demand demand) {
        int prefill = staffing.prefill();
        int decode = staffing.decode();
        double now = served(prefill, decode, staffing, demand);
        double reading = decode > 1 ? served(prefill + 1, decode - 1, staffing, demand) : 0;
        double decoding = prefill > 1 ? served(prefill - 1, decode + 1, staffing, demand) : 0;
        mLostReading = Math.max(0, mLostReading + (reading - now) * passed);
        mLostDecoding = Math.max(0, mLostDecoding + (decoding - now) * passed);
        double missing = Math.max(mChangeMillis, staffing.switchMillis() + demand.meanRunMillis());
        double madeLeft = SplitCapacity.made(decode - 1, staffing.memoryTokens(), demand);
        if (reading > now && mLostReading >= price(now, decode, madeLeft, missing)) {
            return Step.MORE_PREFILL;
        }
        double readLeft = SplitCapacity.read(prefill - 1, demand);
        if (decoding > now && mLostDecoding >= price(now, prefill, readLeft, missing)) {
            return Step.MORE_DECODE;
        }
        return Step.STAY;
    }

    /**
     * Returns what a change costs: the requests that the engine would have served while it is
     * missing, as far as the others of its side are too busy to take them.
     *
     * @param now what is served now, requests a millisecond
     * @param engines how many engines its side has
     * @param left what the others of its side serve at most, requests a millisecond
     * @param missing how long the engine is missing, milliseconds
     * @return requests
     */
    private static double price(double now, int engines, double left, double missing) {
        double busy = left > 0 ? Math.min(1, now / left) : 1;
        return Math.max(LEAST_LOSS, now / engines * busy * missing);
    }

    /**
     * Returns how many requests a split serves.
     *
     * @param prefill how many engines read prompts
     * @param decode how many decode
     * @param staffing what each can hold
     * @param demand what callers ask for
     * @return requests a millisecond
     */
    private static double served(int prefill, int decode, EnginePool staffing, Demand demand) {
        return SplitCapacity.served(prefill, decode, staffing.memoryTokens(), demand);
    }
}
