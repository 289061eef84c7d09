package org.troutpier.standins.load;

import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Phaser;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.troutpier.common.eventstream.ServerSentEvent;
import org.troutpier.common.eventstream.ServerSentEventSplitter;
import org.troutpier.common.http.CallFailedException;
import org.troutpier.common.http.HttpResponses;
import org.troutpier.common.http.ReplyListener;
import org.troutpier.standins.engine.PrefixBlocks;

/**
 * A run of open-loop load: requests are sent on schedule, regardless of the outcome of earlier
 * ones. All arrivals and lengths derive from the seed. Thread safe.
 */
public final class LoadRun {

    private static final double NANOS_PER_SECOND = 1e9;

    /**
     * The minimum of a length as a fraction of its average; the range above it is one average wide.
     */
    private static final double HALF = 0.5;

    private final EventLoopGroup mLoops;

    private final LoadTarget mTarget;

    /** The results by stream. */
    private final Map<LoadStream, StreamTally> mTallies = new LinkedHashMap<>();

    /** Counts the requests in flight. */
    private final Phaser mInFlight = new Phaser(1);

    /** Distinguishes the request ids of this run from those of other runs. */
    private final String mRunId = Long.toHexString(System.nanoTime());

    /**
     * One planned request.
     *
     * @param atNanos when it is sent, relative to the start
     * @param stream its stream
     * @param id its id
     * @param prompt its prompt
     * @param outputTokens the number of tokens to request
     */
    private record Planned(
            long atNanos, LoadStream stream, String id, String prompt, int outputTokens) {}

    /**
     * Creates a run.
     *
     * @param loops the event loops that send the requests
     * @param target the target of the load
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
     * @param warmUp how long requests are sent without being counted, seconds
     * @param seconds how long counted requests are sent
     * @param seed the seed of arrivals and lengths
     * @return the results by stream
     */
    public Map<String, Map<String, Object>> run(double warmUp, double seconds, long seed) {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        List<Planned> plan = new ArrayList<>();
        mTallies.keySet().forEach(stream -> plan.addAll(planned(stream, warmUp + seconds, random)));
        plan.forEach(
                planned -> {
                    mInFlight.register();
                    mLoops.next()
                            .schedule(
                                    () -> send(planned, (long) (warmUp * NANOS_PER_SECOND)),
                                    planned.atNanos(),
                                    TimeUnit.NANOSECONDS);
                });
        mInFlight.arriveAndAwaitAdvance();
        Map<String, Map<String, Object>> figures = new LinkedHashMap<>();
        mTallies.forEach((stream, tally) -> figures.put(stream.name(), tally.figures()));
        return figures;
    }

    /**
     * Plans the requests of a stream with exponentially distributed intervals.
     *
     * @param stream the stream
     * @param seconds how long requests are sent
     * @param random the random generator
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
                            (long) (at * NANOS_PER_SECOND),
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
     * @param random the random generator
     * @return between half and one and a half times the average, at least one
     */
    private static int length(int average, UniformRandomProvider random) {
        return Math.max(1, (int) (average * (HALF + random.nextDouble())));
    }

    /**
     * Creates a prompt: a prefix that all requests of the stream share, then a unique part.
     *
     * @param stream the stream
     * @param id the request's id
     * @param random the random generator
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
     * @param countedFrom the scheduled time from which requests are counted, nanoseconds from the
     *     start
     */
    private void send(Planned planned, long countedFrom) {
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

    /** Records the outcome of one answer. Confined to the event loop of the answer. */
    private final class Watcher implements ReplyListener {

        /** The request. */
        private final Planned mPlanned;

        /** Counts the outcome. */
        private final StreamTally mTally;

        /** The checksum of the prompt, with which every token of the answer must start. */
        private final String mMark;

        /** When the request was sent. */
        private final long mStartNanos = System.nanoTime();

        private int mStatus;

        /** The result code, or null. */
        private String mCode;

        /** When the first part arrived, or 0. */
        private long mFirstNanos;

        /** When the last part arrived. */
        private long mLastNanos;

        /** The number of tokens received. */
        private int mTokens;

        private final ServerSentEventSplitter mSplitter = new ServerSentEventSplitter();

        /** Whether the end marker was received. */
        private boolean mDone;

        /** Whether a token did not start with the checksum of the prompt. */
        private boolean mWrong;

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
            mLastNanos = System.nanoTime();
            if (mFirstNanos == 0) {
                mFirstNanos = mLastNanos;
            }
            if (mPlanned.stream().completion()) {
                mSplitter.feed(part, this::onEvent);
            }
        }

        /** Counts a token or detects the end marker. */
        private void onEvent(ServerSentEvent event) {
            final String text = "\"text\":\"";
            String data = event.data().orElse("");
            int at = data.indexOf(text);
            if (at >= 0) {
                mTokens++;
                mWrong |= !data.startsWith(mMark, at + text.length());
            }
            mDone |= data.startsWith("[DONE]");
        }

        /** {@inheritDoc} */
        @Override
        public void onEnd() {
            boolean whole = mStatus == 200 && (mDone || !mPlanned.stream().completion());
            if (whole) {
                mTally.whole(
                        mPlanned.stream(),
                        mFirstNanos - mStartNanos,
                        mLastNanos - mStartNanos,
                        mTokens);
            } else {
                mTally.ended(mCode == null ? "HTTP " + mStatus : mCode);
            }
            if (mWrong) {
                mTally.wrong();
            }
            mInFlight.arriveAndDeregister();
        }

        /** {@inheritDoc} */
        @Override
        public void onFailure(CallFailedException failure) {
            mTally.ended(mStatus == 200 ? "cut" : "connection");
            mInFlight.arriveAndDeregister();
        }
    }
}
