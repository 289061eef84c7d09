package org.troutpier.daemon.waiting;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.troutpier.common.id.UpstreamIncarnation;
import org.troutpier.daemon.directory.UpstreamEntry;

/**
 * Decides which engines' memory a request may take while others precede it. Answers a view of the
 * other routers that is always somewhat old: those that precede it may have ended, or may be unable
 * to use the memory. Confined to one thread. Invariant: a request leaves the memory of an engine
 * for at most {@link #MAX_MILLIS} in a row, or {@link #MAX_PATIENT_MILLIS} for one that is more
 * urgent or larger.
 */
public final class HoldBack {

    /**
     * The longest time for which a request leaves the same memory, milliseconds: the others look
     * for memory every 15 to 30 ms and need one report to be known, and an eighth of the shortest
     * target is lost if none of them takes it.
     */
    public static final long MAX_MILLIS = 100;

    /**
     * The longest time for which a request leaves the same memory to more urgent ones, or to a
     * larger one for which it becomes free, milliseconds: the age at which reports cease to count,
     * which limits how long memory is left to requests that have ended.
     */
    public static final long MAX_PATIENT_MILLIS = WaitingReport.MAX_AGE_MILLIS;

    /** Since when the memory of each engine is left free, milliseconds. */
    private final Map<UpstreamIncarnation, Long> mLeftSince = new HashMap<>();

    /**
     * Returns how many requests of one size have to find room before a request may take memory.
     *
     * @param tokensToLeave what it leaves free
     * @param requestTokens what it takes itself
     */
    static int requiredRequests(double tokensToLeave, double requestTokens) {
        return 1 + (int) Math.ceil(tokensToLeave / Math.max(1, requestTokens));
    }

    /** What an engine's free memory can do for larger requests that precede one. */
    public enum Use {
        /** Nothing, or it holds both. */
        SPARE,
        /** It holds the larger one only. */
        WANTED,
        /** It will be among the first to hold the larger one, once more runs have ended there. */
        BECOMING_FREE
    }

    /**
     * An engine that has room for the request. Immutable and thread safe.
     *
     * @param engine the engine
     * @param use what its memory can do for larger requests
     */
    public record Room(UpstreamEntry engine, Use use) {}

    /**
     * Returns the engines whose memory the request may take.
     *
     * @param rooms the engines that have room for it, the preferred first
     * @param enough whether there is room for all that precede it and for itself
     * @param moreUrgent whether a more urgent request waits
     * @param now the clock, milliseconds
     */
    List<UpstreamEntry> usable(List<Room> rooms, boolean enough, boolean moreUrgent, long now) {
        Map<UpstreamIncarnation, Long> leftBefore = new HashMap<>(mLeftSince);
        mLeftSince.clear();
        List<UpstreamEntry> usable = new ArrayList<>();
        for (Room room : rooms) {
            UpstreamEntry engine = room.engine();
            if (enough && room.use() == Use.SPARE) {
                usable.add(engine);
                continue;
            }
            long since = leftBefore.getOrDefault(engine.incarnation(), now);
            mLeftSince.put(engine.incarnation(), since);
            boolean patient = moreUrgent || room.use() == Use.BECOMING_FREE;
            if (now - since >= (patient ? MAX_PATIENT_MILLIS : MAX_MILLIS)) {
                usable.add(engine);
            }
        }
        return usable;
    }
}
