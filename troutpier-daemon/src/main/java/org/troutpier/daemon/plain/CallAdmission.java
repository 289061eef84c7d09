package org.troutpier.daemon.plain;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import org.troutpier.common.id.PartnerId;
import org.troutpier.daemon.directory.UpstreamEntry;
import org.troutpier.daemon.waiting.Claim;
import org.troutpier.daemon.waiting.WaitingReport;

/**
 * Decides whether a call to a plain service is sent, waits or is refused. Answers two loads: floods
 * of one organisation, of which calls of other organisations must not notice more than one call
 * ahead of them for each organisation, and bursts of all, in which calls that cannot be answered in
 * time must be refused while their callers still have time to return. Immutable and thread safe.
 *
 * <p>Organisations take turns over all routers: a call has to leave room for all calls that precede
 * it. Of the calls of its own organisation, a part precedes it that is drawn once for each call, so
 * that routers that see the same room do not all send into it.
 *
 * @param service the service of the call
 * @param rooms what is known of the upstreams, in order of preference
 * @param waiting the calls that wait at all routers
 * @param workMillis the mean work of a call, milliseconds
 */
record CallAdmission(
        String service, List<Room> rooms, List<WaitingReport.Entry> waiting, double workMillis) {

    /** The outcome of a decision. */
    enum Verdict {
        /** The call is sent now. */
        SEND,
        /** The call waits for room. */
        WAIT,
        /** The call is refused. */
        REFUSE
    }

    /**
     * A decision. Immutable and thread safe.
     *
     * @param verdict the outcome
     * @param waitMillis the predicted wait for room, milliseconds
     * @param ahead the number of calls that precede the call
     * @param free the room at all upstreams
     */
    record Decision(Verdict verdict, double waitMillis, double ahead, int free) {}

    /**
     * Decides about a call.
     *
     * @param claim the claim of the call
     * @param draw the part of its own organisation's waiting calls that precede it, at least 0 and
     *     less than 1
     * @param maxWaitMillis how long the call may still wait, milliseconds; negative if it may not
     */
    Decision decide(Claim claim, double draw, long maxWaitMillis) {
        int free = 0;
        int slots = 0;
        for (Room room : rooms) {
            free += room.free();
            slots += room.upstream().slots();
        }
        double ahead = callsAhead(claim, draw);
        if (free > ahead) {
            return new Decision(Verdict.SEND, 0, ahead, free);
        }
        double waitMillis = (ahead + 1 - free) * workMillis / Math.max(1, slots);
        Verdict verdict = waitMillis <= maxWaitMillis ? Verdict.WAIT : Verdict.REFUSE;
        return new Decision(verdict, waitMillis, ahead, free);
    }

    /** Returns the number of waiting calls that are to be sent before a call. */
    private double callsAhead(Claim claim, double draw) {
        double own = 0;
        for (WaitingReport.Entry entry : waiting) {
            if (isOfSameLevel(entry, claim) && isOfOrganisation(entry, claim)) {
                own += entry.cost();
            }
        }
        double ownAhead = draw * own;
        double ahead = ownAhead;
        for (WaitingReport.Entry entry : waiting) {
            if (!entry.service().equals(service)) {
                continue;
            }
            if (precedes(entry, claim)) {
                ahead += entry.cost();
            } else if (isOfSameLevel(entry, claim) && !isOfOrganisation(entry, claim)) {
                ahead += Math.min(entry.cost(), ownAhead + draw);
            }
        }
        return ahead;
    }

    private boolean isOfSameLevel(WaitingReport.Entry entry, Claim claim) {
        return entry.service().equals(service)
                && entry.tier() == claim.tier()
                && entry.rank() == claim.flow().rank();
    }

    private static boolean isOfOrganisation(WaitingReport.Entry entry, Claim claim) {
        PartnerId organisation = claim.flow().organisation();
        return entry.organisation().equals(organisation);
    }

    /** Returns whether calls of an entry have a better tier or are more urgent. */
    private static boolean precedes(WaitingReport.Entry entry, Claim claim) {
        int byTier = entry.tier().compareTo(claim.tier());
        return byTier < 0 || byTier == 0 && entry.rank() < claim.flow().rank();
    }

    /**
     * Orders the upstreams with room. The preferred one comes first while it is lightly loaded. All
     * others are drawn in proportion to their room: routers that know the same counts would
     * otherwise all choose the same upstream until the next reports.
     */
    List<UpstreamEntry> order(RandomGenerator random) {
        List<UpstreamEntry> order = new ArrayList<>(rooms.size());
        List<Room> left = new ArrayList<>(rooms.size());
        int free = 0;
        for (Room room : rooms) {
            if (room.free() > 0) {
                left.add(room);
                free += room.free();
            }
        }
        if (!left.isEmpty() && left.get(0).isLightlyLoaded()) {
            Room preferred = left.remove(0);
            free -= preferred.free();
            order.add(preferred.upstream());
        }
        while (!left.isEmpty()) {
            Room drawn = left.remove(draw(left, random.nextInt(free)));
            free -= drawn.free();
            order.add(drawn.upstream());
        }
        return order;
    }

    /** Returns the index of the room that contains a number below the sum of all. */
    private static int draw(List<Room> rooms, int number) {
        int rest = number;
        int index = 0;
        while (rest >= rooms.get(index).free()) {
            rest -= rooms.get(index).free();
            index++;
        }
        return index;
    }
}
