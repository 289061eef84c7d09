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
 * for at most {@link #MAX_MILLIS} in a row, or {@link #MAX_URGENT_MILLIS} while a more urgent one
 * waits.
 */
public final class HoldBack {

    /**
     * The longest time for which a request leaves the same memory, milliseconds: the others look
     * for memory every 15 to 30 ms and need one report to be known, and an eighth of the shortest
     * target is lost if none of them takes it.
     */
    public static final long MAX_MILLIS = 100;

    /**
     * The longest time for which a request leaves the same memory to more urgent ones,
     * milliseconds: the age at which reports cease to count, which limits how long memory is left
     * to requests that have ended.
     */
    public static final long MAX_URGENT_MILLIS = WaitingReport.MAX_AGE_MILLIS;

    /**
     * The longest time for which an engine may seem full without the time starting again,
     * milliseconds: others count memory as used while they ask for it, which takes them a round.
     */
    private static final long MAX_GAP_MILLIS = 60;

    private final Map<UpstreamIncarnation, Yielded> mYielded = new HashMap<>();

    /**
     * Memory of an engine that is left free. Immutable and thread safe.
     *
     * @param sinceMillis since when it is, milliseconds
     * @param seenMillis when it was last seen free, milliseconds
     */
    private record Yielded(long sinceMillis, long seenMillis) {}

    /**
     * Returns how many requests of one size have to find room before a request may take memory.
     *
     * @param tokensToLeave what it leaves free
     * @param requestTokens what it takes itself
     */
    static int requiredRequests(double tokensToLeave, double requestTokens) {
        return 1 + (int) Math.ceil(tokensToLeave / Math.max(1, requestTokens));
    }

    /**
     * Returns the engines whose memory the request may take.
     *
     * @param withRoom the engines that have room for it, the preferred first
     * @param spare those of them whose memory is not needed by others
     * @param moreUrgent whether a more urgent request waits
     * @param now the clock, milliseconds
     */
    List<UpstreamEntry> usable(
            List<UpstreamEntry> withRoom, List<UpstreamEntry> spare, boolean moreUrgent, long now) {
        mYielded.values().removeIf(yielded -> now - yielded.seenMillis() > MAX_GAP_MILLIS);
        long limit = moreUrgent ? MAX_URGENT_MILLIS : MAX_MILLIS;
        List<UpstreamEntry> usable = new ArrayList<>();
        for (UpstreamEntry engine : withRoom) {
            if (spare.contains(engine)) {
                usable.add(engine);
                continue;
            }
            Yielded before = mYielded.get(engine.incarnation());
            long since = before == null ? now : before.sinceMillis();
            mYielded.put(engine.incarnation(), new Yielded(since, now));
            if (now - since >= limit) {
                usable.add(engine);
            }
        }
        return usable;
    }
}
