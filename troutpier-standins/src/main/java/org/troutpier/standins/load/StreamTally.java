package org.troutpier.standins.load;

import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** What came of one stream's requests. Thread safe by its lock. */
final class StreamTally {

    /** The longest time that is told apart, microseconds. */
    private static final long LONGEST = 600_000_000L;

    /** How many digits of a time are kept. */
    private static final int DIGITS = 3;

    /** Times to the first token, microseconds. */
    private final Histogram mFirst = new Histogram(LONGEST, DIGITS);

    /** Mean times between tokens of each request, microseconds. */
    private final Histogram mBetween = new Histogram(LONGEST, DIGITS);

    /** How many requests ended in which way. */
    private final Map<String, Long> mEnds = new TreeMap<>();

    /** How many requests were sent. */
    private long mSent;

    /** How many got a whole answer. */
    private long mWhole;

    /** How many got a whole answer within both targets. */
    private long mGood;

    /** How many tokens arrived. */
    private long mTokens;

    /** How many answers were another request's. */
    private long mWrong;

    /** Counts a request as sent. */
    synchronized void sent() {
        mSent++;
    }

    /**
     * Counts a whole answer.
     *
     * @param stream what the request was like
     * @param firstNanos the time to the first token or byte
     * @param lastNanos the time to the last
     * @param tokens how many tokens
     */
    synchronized void whole(LoadStream stream, long firstNanos, long lastNanos, int tokens) {
        mWhole++;
        mTokens += tokens;
        final long nanosPerMicro = 1000;
        final double microsPerMilli = 1000;
        long first = firstNanos / nanosPerMicro;
        long between = tokens < 2 ? 0 : (lastNanos - firstNanos) / nanosPerMicro / (tokens - 1);
        mFirst.recordValue(Math.min(first, LONGEST));
        mBetween.recordValue(Math.min(between, LONGEST));
        boolean firstInTime =
                stream.firstTokenMillis() == 0
                        || first <= stream.firstTokenMillis() * microsPerMilli;
        boolean restInTime =
                stream.perTokenMillis() == 0 || between <= stream.perTokenMillis() * microsPerMilli;
        if (firstInTime && restInTime) {
            mGood++;
        }
    }

    /**
     * Counts a request that ended without a whole answer.
     *
     * @param how the result code or what else happened
     */
    synchronized void ended(String how) {
        mEnds.merge(how, 1L, Long::sum);
    }

    /** Counts an answer that was another request's. */
    synchronized void wrong() {
        mWrong++;
    }

    /**
     * Describes the tally for programs.
     *
     * @return the figures by name
     */
    synchronized Map<String, Object> figures() {
        Map<String, Object> figures = new TreeMap<>();
        figures.put("sent", mSent);
        figures.put("whole", mWhole);
        figures.put("good", mGood);
        figures.put("wrong", mWrong);
        figures.put("tokens", mTokens);
        figures.put("ends", Map.copyOf(mEnds));
        figures.put("first_ms", quantiles(mFirst));
        figures.put("between_ms", quantiles(mBetween));
        return figures;
    }

    /**
     * Describes a histogram.
     *
     * @param histogram the histogram, in microseconds
     * @return quantiles in milliseconds
     */
    private static Map<String, Double> quantiles(Histogram histogram) {
        Map<String, Double> quantiles = new TreeMap<>();
        final double microsPerMilli = 1000.0;
        for (int percent : new int[] {50, 95, 99}) {
            quantiles.put("p" + percent, histogram.getValueAtPercentile(percent) / microsPerMilli);
        }
        return quantiles;
    }
}
