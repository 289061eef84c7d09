package org.troutpier.daemon.plain;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
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
 * @param competing the calls that other routers are expected to place on the same view
 * @param workMillis the mean work of a call, milliseconds
 */
record CallAdmission(
        String service,
        List<UpstreamRoom> rooms,
        List<WaitingReport.Entry> waiting,
        List<WaitingReport.Entry> competing,
        double workMillis) {

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
        boolean hasFreeSlot = false;
        for (UpstreamRoom room : rooms) {
            if (room.inTime()) {
                free += room.free();
                slots += room.upstream().slots();
            }
            hasFreeSlot |= !room.inTime() && room.hasFreeSlot();
        }
        double ahead = callsAhead(claim, draw);
        if (free > ahead) {
            return new Decision(Verdict.SEND, 0, ahead, free);
        }
        double waitMillis = (ahead + 1 - free) * workMillis / Math.max(1, slots);
        Verdict verdict = waitMillis <= maxWaitMillis ? Verdict.WAIT : Verdict.REFUSE;
        if (verdict == Verdict.REFUSE && hasFreeSlot) {
            // a late answer of a slow upstream that is idle comes sooner than the caller would
            verdict = Verdict.SEND;
        }
        return new Decision(verdict, waitMillis, ahead, free);
    }

    /** Returns the number of calls that wait for the service at all routers. */
    long waitingCount() {
        return count(waiting);
    }

    /** Returns the number of calls that other routers are expected to place on the same view. */
    long expectedCount() {
        return count(competing);
    }

    private long count(List<WaitingReport.Entry> entries) {
        return Math.round(
                entries.stream()
                        .filter(entry -> entry.service().equals(service))
                        .mapToDouble(WaitingReport.Entry::cost)
                        .sum());
    }

    /** Returns the number of calls that are to be sent before a call. */
    private double callsAhead(Claim claim, double draw) {
        Map<PartnerId, Double> sameLevel = new HashMap<>();
        double ahead = count(waiting, claim, sameLevel) + count(competing, claim, sameLevel);
        double own = sameLevel.getOrDefault(claim.flow().organisation(), 0.0);
        double turns = draw * own;
        for (Map.Entry<PartnerId, Double> each : sameLevel.entrySet()) {
            boolean isOwn = each.getKey().equals(claim.flow().organisation());
            ahead += isOwn ? turns : Math.min(each.getValue(), turns + draw);
        }
        return ahead;
    }

    /**
     * Counts the calls of the service with a better tier or a more urgent rank.
     *
     * @param sameLevel receives the calls of the same tier and rank by organisation
     */
    private double count(
            List<WaitingReport.Entry> entries, Claim claim, Map<PartnerId, Double> sameLevel) {
        double preceding = 0;
        for (WaitingReport.Entry entry : entries) {
            if (!entry.service().equals(service)) {
                continue;
            }
            int byTier = entry.tier().compareTo(claim.tier());
            int order = byTier != 0 ? byTier : entry.rank() - claim.flow().rank();
            if (order < 0) {
                preceding += entry.cost();
            } else if (order == 0) {
                sameLevel.merge(entry.organisation(), entry.cost(), Double::sum);
            }
        }
        return preceding;
    }

    /**
     * Orders the upstreams with room. The preferred one comes first while it is lightly loaded. All
     * others are drawn in proportion to their room: routers that know the same counts would
     * otherwise all choose the same upstream until the next reports.
     */
    List<UpstreamEntry> order(RandomGenerator random) {
        List<UpstreamEntry> order = new ArrayList<>(rooms.size());
        List<UpstreamRoom> left = new ArrayList<>(rooms.size());
        int free = 0;
        List<UpstreamEntry> late = new ArrayList<>();
        for (UpstreamRoom room : rooms) {
            if (room.inTime() && room.free() > 0) {
                left.add(room);
                free += room.free();
            } else if (room.hasFreeSlot()) {
                late.add(room.upstream());
            }
        }
        if (!left.isEmpty() && left.get(0).isLightlyLoaded()) {
            UpstreamRoom preferred = left.remove(0);
            free -= preferred.free();
            order.add(preferred.upstream());
        }
        while (!left.isEmpty()) {
            UpstreamRoom drawn = left.remove(draw(left, random.nextInt(free)));
            free -= drawn.free();
            order.add(drawn.upstream());
        }
        order.addAll(late);
        return order;
    }

    /** Returns the index of the room that contains a number below the sum of all. */
    private static int draw(List<UpstreamRoom> rooms, int number) {
        int rest = number;
        int index = 0;
        while (rest >= rooms.get(index).free()) {
            rest -= rooms.get(index).free();
            index++;
        }
        return index;
    }
}
