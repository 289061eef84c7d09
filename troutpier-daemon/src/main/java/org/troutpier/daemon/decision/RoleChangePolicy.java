package org.troutpier.daemon.decision;

import org.troutpier.daemon.cluster.Demand;

/**
 * Decides when an engine of a service should change its role. A role change has a cost: the engine
 * is unavailable until its runs have ended and it has switched. The gain depends on how long the
 * load lasts, which is unknown. The policy therefore follows the break-even rule of the ski-rental
 * problem: it accumulates the loss from keeping the current split and changes a role once the loss
 * reaches the cost of the change. A burst that ends earlier changes nothing, while a lasting shift
 * of the mix is followed.
 *
 * <p>Loads come in bursts of a few seconds. A rule that follows the busier side alone can take an
 * engine from decoding in a burst of five seconds; the engine is then unavailable for 18 seconds
 * and misses two more bursts. In a simulation with light load, the score was 0.59 with such a rule,
 * against 0.75 without any change.
 *
 * <p>Prefill engines that would saturate in no burst change role without an accumulated loss, since
 * nothing is lost while they are unavailable; see {@link PrefillSurplus}.
 *
 * <p>Not thread safe; confined to the control thread. Invariants: a change never takes the last
 * engine of a side, unless there is only one engine, which then decodes; a change under a measured
 * demand increases the throughput of its mix; changes are free without recent requests.
 */
public final class RoleChangePolicy {

    /** Fraction of prefill engines while there are no recent requests. */
    private static final double INITIAL_PREFILL_FRACTION = 1 / 3.0;

    /**
     * Minimum accumulated loss before a change, requests. Smaller losses are within the error of
     * the measured demand.
     */
    private static final double MIN_LOSS = 3;

    /**
     * Maximum time that one evaluation accounts for, milliseconds: two of the usual intervals
     * between evaluations.
     */
    private static final long MAX_EVALUATION_MILLIS = 1000;

    /** Weight of a new sample in the mean duration of changes. */
    private static final double SMOOTHING_FACTOR = 0.5;

    /**
     * Time of continuous demand before the measured demand is trusted, milliseconds. Short runs
     * complete first, so soon after a start a run appears to occupy half of its actual memory and
     * decode engines appear idle. Without this time, one of two decode engines was taken away after
     * a power loss of all routers and was back after 14 s.
     */
    private static final double MEASUREMENT_MILLIS = Demand.DECAY_MILLIS;

    /**
     * Time of continuous demand before surplus prefill engines change role, milliseconds. It is as
     * long as the longer runs take, so that runs end at the rate at which they start.
     */
    private static final double SURPLUS_MILLIS = 5000;

    /** Time of continuous demand, milliseconds. */
    private double mDemandMillis;

    /** Time of the last evaluation, milliseconds; 0 before the first. */
    private long mLastEvaluation;

    /** Number of surplus prefill engines at the last evaluation. */
    private int mSurplus;

    /** Accumulated loss for lack of one more prefill engine, requests. */
    private double mPrefillLoss;

    /** Accumulated loss for lack of one more decode engine, requests. */
    private double mDecodeLoss;

    /** Mean duration of changes, milliseconds; 0 before the first. */
    private double mMeanChangeMillis;

    /** The outcome of an evaluation. */
    public enum Step {
        /** Keep the roles. */
        STAY,
        /** Turn one decode engine into a prefill engine. */
        MORE_PREFILL,
        /** Turn {@link #engineCount()} prefill engines into decode engines. */
        MORE_DECODE
    }

    /**
     * The engines of a service by role. Immutable and thread safe.
     *
     * @param prefill the number of prefill engines
     * @param decode the number of decode engines
     * @param memoryTokens the memory of each engine, tokens
     * @param switchMillis the duration of a role change once an engine is idle, milliseconds
     * @param usedTokens the memory used by runs on decode engines, tokens
     */
    public record EnginePool(
            int prefill, int decode, long memoryTokens, long switchMillis, long usedTokens) {

        int engines() {
            return prefill + decode;
        }
    }

    /**
     * Evaluates whether roles should change.
     *
     * @param now the monotonic clock, milliseconds
     */
    public Step evaluate(long now, EnginePool pool, Demand demand) {
        mSurplus = 0;
        double passed =
                mLastEvaluation == 0 ? 0 : Math.min(MAX_EVALUATION_MILLIS, now - mLastEvaluation);
        mLastEvaluation = now;
        if (pool.decode() == 0) {
            return pool.engines() > 0 ? Step.MORE_DECODE : Step.STAY;
        }
        if (pool.engines() < 2) {
            return Step.STAY;
        }
        boolean idle = demand.requests() < 1;
        mDemandMillis = idle ? 0 : mDemandMillis + passed;
        boolean measured = demand.hasEnoughRuns() && demand.reading().hasEnoughSamples();
        if (!idle && measured && mDemandMillis >= SURPLUS_MILLIS) {
            mSurplus = PrefillSurplus.count(pool, demand, mDemandMillis);
            if (mSurplus > 0) {
                return Step.MORE_DECODE;
            }
        }
        if (!idle && measured && mDemandMillis >= MEASUREMENT_MILLIS) {
            return compareLossWithCost(passed, pool, demand);
        }
        return idle || pool.prefill() == 0 ? initialStep(pool) : Step.STAY;
    }

    /**
     * Returns how many engines are to change at once: all surplus engines, otherwise one, since
     * each further change has its own cost.
     */
    public int engineCount() {
        return Math.max(1, mSurplus);
    }

    /**
     * Records the duration of a change.
     *
     * @param millis the time from the request until the engine was available in its new role
     */
    public void recordChange(long millis) {
        mMeanChangeMillis +=
                (millis - mMeanChangeMillis) * (mMeanChangeMillis == 0 ? 1 : SMOOTHING_FACTOR);
    }

    /** Resets the accumulated losses after a change or a failed attempt at one. */
    public void reset() {
        mPrefillLoss = 0;
        mDecodeLoss = 0;
    }

    /** Returns the accumulated losses for the log, requests. */
    public String lossSummary() {
        return "lostReading="
                + Math.round(mPrefillLoss)
                + " lostDecoding="
                + Math.round(mDecodeLoss);
    }

    /**
     * Returns the step towards the initial split of a service. It is taken while there are no
     * recent requests, so that the change costs nothing, and before the demand is measured if there
     * is no prefill engine.
     */
    private static Step initialStep(EnginePool pool) {
        long wanted = Math.max(1, Math.round(pool.engines() * INITIAL_PREFILL_FRACTION));
        if (wanted == pool.prefill()) {
            return Step.STAY;
        }
        return wanted > pool.prefill() ? Step.MORE_PREFILL : Step.MORE_DECODE;
    }

    /** Accumulates the losses over the passed milliseconds and compares them with the costs. */
    private Step compareLossWithCost(double passed, EnginePool pool, Demand demand) {
        int prefill = pool.prefill();
        int decode = pool.decode();
        double current = throughput(prefill, decode, pool, demand);
        double morePrefill = decode > 1 ? throughput(prefill + 1, decode - 1, pool, demand) : 0;
        double moreDecode = prefill > 1 ? throughput(prefill - 1, decode + 1, pool, demand) : 0;
        mPrefillLoss = Math.max(0, mPrefillLoss + (morePrefill - current) * passed);
        mDecodeLoss = Math.max(0, mDecodeLoss + (moreDecode - current) * passed);
        double changeMillis =
                Math.max(mMeanChangeMillis, pool.switchMillis() + demand.meanRunMillis());
        double remainingDecode =
                SplitCapacity.decodeThroughput(decode - 1, pool.memoryTokens(), demand);
        if (morePrefill > current
                && mPrefillLoss >= changeCost(current, decode, remainingDecode, changeMillis)) {
            return Step.MORE_PREFILL;
        }
        double remainingPrefill = SplitCapacity.prefillThroughput(prefill - 1, demand);
        if (moreDecode > current
                && mDecodeLoss >= changeCost(current, prefill, remainingPrefill, changeMillis)) {
            return Step.MORE_DECODE;
        }
        return Step.STAY;
    }

    /**
     * Returns the cost of a change in requests: those that the engine would have served while it is
     * unavailable, as far as the other engines of its side are too busy to take them.
     *
     * @param current the current throughput, requests per millisecond
     * @param engines the number of engines on the side that gives an engine away
     * @param remaining the throughput of the others on that side, requests per millisecond
     * @param changeMillis how long the engine is unavailable, milliseconds
     */
    private static double changeCost(
            double current, int engines, double remaining, double changeMillis) {
        double utilization = remaining > 0 ? Math.min(1, current / remaining) : 1;
        return Math.max(MIN_LOSS, current / engines * utilization * changeMillis);
    }

    private static double throughput(int prefill, int decode, EnginePool pool, Demand demand) {
        return SplitCapacity.throughput(prefill, decode, pool.memoryTokens(), demand);
    }
}
