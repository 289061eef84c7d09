package org.troutpier.standins.load;

import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** The results of one stream. Thread safe; guarded by its own lock. */
final class StreamTally {

    /** Longest recorded time; longer ones count as this. */
    private static final long MAX_MICROS = 600_000_000L;

    /** Significant digits of recorded times. */
    private static final int DIGITS = 3;

    /** Times to the first token. */
    private final Histogram mFirstTokenMicros = new Histogram(MAX_MICROS, DIGITS);

    /** Mean times between tokens of each request. */
    private final Histogram mPerTokenMicros = new Histogram(MAX_MICROS, DIGITS);

    private final Map<String, Long> mEnds = new TreeMap<>();

    private long mSent;

    /** Number of complete answers. */
    private long mWhole;

    /** Number of complete answers within both latency targets. */
    private long mGood;

    private long mTokens;

    /** Number of answers that belonged to another request. */
    private long mWrong;

    /** Records a sent request. */
    synchronized void sent() {
        mSent++;
    }

    /**
     * Records a complete answer.
     *
     * @param stream the stream of the request
     * @param firstNanos the time to the first token or byte
     * @param lastNanos the time to the last token or byte
     * @param tokens the number of tokens received
     */
    synchronized void whole(LoadStream stream, long firstNanos, long lastNanos, int tokens) {
        mWhole++;
        mTokens += tokens;
        final long nanosPerMicro = 1000;
        final double microsPerMilli = 1000;
        long first = firstNanos / nanosPerMicro;
        long between = tokens < 2 ? 0 : (lastNanos - firstNanos) / nanosPerMicro / (tokens - 1);
        mFirstTokenMicros.recordValue(Math.min(first, MAX_MICROS));
        mPerTokenMicros.recordValue(Math.min(between, MAX_MICROS));
        boolean firstInTime =
                stream.firstTokenMillis() == 0
                        || first <= stream.firstTokenMillis() * microsPerMilli;
        boolean perTokenInTime =
                stream.perTokenMillis() == 0 || between <= stream.perTokenMillis() * microsPerMilli;
        if (firstInTime && perTokenInTime) {
            mGood++;
        }
    }

    /**
     * Records a request that ended without a complete answer.
     *
     * @param reason the result code or another reason
     */
    synchronized void ended(String reason) {
        mEnds.merge(reason, 1L, Long::sum);
    }

    /** Records an answer that belonged to another request. */
    synchronized void wrong() {
        mWrong++;
    }

    /**
     * Returns the results as they are written to JSON.
     *
     * @return the results by name
     */
    synchronized Map<String, Object> figures() {
        Map<String, Object> figures = new TreeMap<>();
        figures.put("sent", mSent);
        figures.put("whole", mWhole);
        figures.put("good", mGood);
        figures.put("wrong", mWrong);
        figures.put("tokens", mTokens);
        figures.put("ends", Map.copyOf(mEnds));
        figures.put("first_ms", quantiles(mFirstTokenMicros));
        figures.put("between_ms", quantiles(mPerTokenMicros));
        return figures;
    }

    /**
     * Returns the quantiles of a histogram.
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
