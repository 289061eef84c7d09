package org.troutpier.standins.load;

import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpHeaders;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Phaser;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.troutpier.common.http.CallFailedException;
import org.troutpier.common.http.HttpResponses;
import org.troutpier.common.http.ReplyListener;
import org.troutpier.standins.engine.PrefixBlocks;

/**
 * One run of open-loop load: requests leave when their time has come, whatever became of those
 * before. The seed fixes all arrivals and lengths. Thread safe.
 */
public final class LoadRun {

    /** Nanoseconds in a second. */
    private static final double NANOS = 1e9;

    /** The least and the spread of a length, as shares of its average. */
    private static final double HALF = 0.5;

    /** Carries the traffic. */
    private final EventLoopGroup mLoops;

    /** Where the load goes. */
    private final LoadTarget mTarget;

    /** What came of each stream. */
    private final Map<LoadStream, StreamTally> mTallies = new LinkedHashMap<>();

    /** Counts the requests under way. */
    private final Phaser mUnderWay = new Phaser(1);

    /** Tells this run's requests from another's. */
    private final String mRunId = Long.toHexString(System.nanoTime());

    /**
     * One planned request.
     *
     * @param atNanos when it leaves, from the start
     * @param stream what it is like
     * @param id its id
     * @param prompt its prompt
     * @param outputTokens how many tokens it asks for
     */
    private record Planned(
            long atNanos, LoadStream stream, String id, String prompt, int outputTokens) {}

    /**
     * Creates a run.
     *
     * @param loops carries the traffic
     * @param target where the load goes
     * @param mix the streams
     */
    public LoadRun(EventLoopGroup loops, LoadTarget target, LoadMix mix) {
        mLoops = loops;
        mTarget = target;
        mix.streams().forEach(stream -> mTallies.put(stream, new StreamTally()));
    }

    /**
     * Runs the load and waits for every answer.
     *
     * @param warmUp how long requests leave that are not counted, seconds
     * @param seconds how long requests leave that are counted
     * @param seed fixes arrivals and lengths
     * @return the figures by stream
     */
    public Map<String, Map<String, Object>> run(double warmUp, double seconds, long seed) {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        List<Planned> plan = new ArrayList<>();
        mTallies.keySet().forEach(stream -> plan.addAll(planned(stream, warmUp + seconds, random)));
        plan.forEach(
                planned -> {
                    mUnderWay.register();
                    mLoops.next()
                            .schedule(
                                    () -> leave(planned, (long) (warmUp * NANOS)),
                                    planned.atNanos(),
                                    TimeUnit.NANOSECONDS);
                });
        mUnderWay.arriveAndAwaitAdvance();
        Map<String, Map<String, Object>> figures = new LinkedHashMap<>();
        mTallies.forEach((stream, tally) -> figures.put(stream.name(), tally.figures()));
        return figures;
    }

    /**
     * Plans a stream's requests with exponential gaps.
     *
     * @param stream the stream
     * @param seconds how long requests leave
     * @param random the source of chance
     * @return the requests
     */
    private List<Planned> planned(LoadStream stream, double seconds, UniformRandomProvider random) {
        List<Planned> planned = new ArrayList<>();
        double at = 0;
        while (true) {
            at += -Math.log(1 - random.nextDouble()) / stream.perSecond();
            if (at >= seconds) {
                return planned;
            }
            String id = stream.name() + "." + mRunId + "." + planned.size();
            planned.add(
                    new Planned(
                            (long) (at * NANOS),
                            stream,
                            id,
                            prompt(stream, id, random),
                            length(stream.outputTokens(), random)));
        }
    }

    /**
     * Draws a length around an average.
     *
     * @param average the average
     * @param random the source of chance
     * @return from half to one and a half of it, at least one
     */
    private static int length(int average, UniformRandomProvider random) {
        return Math.max(1, (int) (average * (HALF + random.nextDouble())));
    }

    /**
     * Makes a prompt: a part that all share, then one of its own.
     *
     * @param stream the stream
     * @param id the request's id
     * @param random the source of chance
     * @return the prompt
     */
    private static String prompt(LoadStream stream, String id, UniformRandomProvider random) {
        if (!stream.completion()) {
            return "";
        }
        int own = length(stream.promptTokens() - stream.sharedTokens(), random);
        return "shared text. ".repeat(1 + stream.sharedTokens() / 3)
                + id
                + " own text.".repeat(1 + own * PrefixBlocks.CHARACTERS_PER_TOKEN / 10);
    }

    /**
     * Sends one request.
     *
     * @param planned the request
     * @param countedFrom from when on requests are counted
     */
    private void leave(Planned planned, long countedFrom) {
        boolean counted = planned.atNanos() >= countedFrom;
        StreamTally tally = counted ? mTallies.get(planned.stream()) : new StreamTally();
        tally.sent();
        mTarget.send(
                planned.stream(),
                planned.id(),
                planned.prompt(),
                planned.outputTokens(),
                new Watcher(planned, tally));
    }

    /** Watches one answer. Confined to the answer's event loop. */
    private final class Watcher implements ReplyListener {

        /** What was sent. */
        private final Planned mPlanned;

        /** Where the outcome is counted. */
        private final StreamTally mTally;

        /** The prompt's mark, which every token of the answer must bear. */
        private final String mMark;

        /** When the request left. */
        private final long mStart = System.nanoTime();

        /** The status. */
        private int mStatus;

        /** The result code, or null. */
        private String mCode;

        /** When the first part came, or 0. */
        private long mFirst;

        /** When the last part came. */
        private long mLast;

        /** How many tokens came. */
        private int mTokens;

        /** What came after the last whole event. */
        private String mRest = "";

        /** Whether the end mark came. */
        private boolean mDone;

        /** Whether a token bore another request's mark. */
        private boolean mWrong;

        /**
         * Creates a watcher.
         *
         * @param planned what was sent
         * @param tally where the outcome is counted
         */
        Watcher(Planned planned, StreamTally tally) {
            mPlanned = planned;
            mTally = tally;
            mMark = PrefixBlocks.mark(planned.prompt());
        }

        /** {@inheritDoc} */
        @Override
        public void onHead(int status, HttpHeaders headers) {
            mStatus = status;
            mCode = headers.get(HttpResponses.CODE_HEADER);
        }

        /** {@inheritDoc} */
        @Override
        public void onPart(byte[] part) {
            mLast = System.nanoTime();
            if (mFirst == 0) {
                mFirst = mLast;
            }
            if (mPlanned.stream().completion()) {
                look(new String(part, StandardCharsets.ISO_8859_1));
            }
        }

        /**
         * Counts the tokens of whole events and looks for the end mark.
         *
         * @param part the part
         */
        private void look(String part) {
            final String text = "\"text\":\"";
            mRest += part;
            int whole = mRest.lastIndexOf("\n\n") + 2;
            if (whole < 2) {
                return;
            }
            int at = mRest.indexOf(text);
            while (at >= 0 && at < whole) {
                mTokens++;
                mWrong |= !mRest.startsWith(mMark, at + text.length());
                at = mRest.indexOf(text, at + 1);
            }
            mDone |= mRest.lastIndexOf("[DONE]", whole) >= 0;
            mRest = mRest.substring(whole);
        }

        /** {@inheritDoc} */
        @Override
        public void onEnd() {
            boolean whole = mStatus == 200 && (mDone || !mPlanned.stream().completion());
            if (whole) {
                mTally.whole(mPlanned.stream(), mFirst - mStart, mLast - mStart, mTokens);
            } else {
                mTally.ended(mCode == null ? "HTTP " + mStatus : mCode);
            }
            if (mWrong) {
                mTally.wrong();
            }
            mUnderWay.arriveAndDeregister();
        }

        /** {@inheritDoc} */
        @Override
        public void onFailure(CallFailedException failure) {
            mTally.ended(mStatus == 200 ? "cut" : "connection");
            mUnderWay.arriveAndDeregister();
        }
    }
}
