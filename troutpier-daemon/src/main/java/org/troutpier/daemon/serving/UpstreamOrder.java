package org.troutpier.daemon.serving;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.ToDoubleFunction;
import java.util.random.RandomGenerator;
import org.troutpier.common.id.HallId;
import org.troutpier.common.id.UpstreamIncarnation;
import org.troutpier.daemon.directory.UpstreamEntry;
import org.troutpier.daemon.pace.CompletionCost;
import org.troutpier.daemon.pace.PaceEstimate;

/**
 * Orders the upstreams to which work may be sent by their load and pace. Confined to the traffic
 * loop. Invariant: a slow upstream is never left out, only ordered behind those that are done
 * earlier.
 */
final class UpstreamOrder {

    /** Cost of a call to another hall, as a fraction of the upstream's slots. */
    private static final double CROSS_HALL_COST = 0.15;

    private final UpstreamLoads mLoads;

    private final TrafficLoop mLoop;

    /** Breaks ties between upstreams of equal cost. */
    private final RandomGenerator mRandom;

    /** The hall of this router. */
    private final HallId mHall;

    private final PaceEstimate mPaces;

    UpstreamOrder(
            UpstreamLoads loads,
            TrafficLoop loop,
            RandomGenerator random,
            HallId hall,
            PaceEstimate paces) {
        mLoads = loads;
        mLoop = loop;
        mRandom = random;
        mHall = hall;
        mPaces = paces;
    }

    /**
     * Orders the upstreams of a plain service by calls in flight per slot and by pace, with a
     * preference for the own hall. Ejected upstreams are left out.
     *
     * @param tried the upstreams that were already sent the request
     * @return the upstreams, the one that completes the call first in front
     */
    List<UpstreamEntry> byCalls(
            Collection<UpstreamEntry> candidates, Set<UpstreamIncarnation> tried) {
        return ordered(candidates, tried, this::callCost);
    }

    /**
     * Orders engines by the tokens that all routers are known to have in flight there; slow decode
     * engines come last. Ejected engines are left out.
     *
     * @param tried the engines that were already sent the request
     * @return the engines, the least loaded first
     */
    List<UpstreamEntry> byTokens(
            Collection<UpstreamEntry> candidates, Set<UpstreamIncarnation> tried) {
        return ordered(candidates, tried, this::memoryCost);
    }

    /**
     * Orders prefill engines by when they complete a prompt. Ejected engines are left out.
     *
     * @param tried the engines that were already sent the prompt
     * @param promptTokens the length of the prompt
     * @return the engines, the earliest first
     */
    List<UpstreamEntry> byPrefillEnd(
            Collection<UpstreamEntry> candidates,
            Set<UpstreamIncarnation> tried,
            long promptTokens) {
        return ordered(
                candidates,
                tried,
                entry ->
                        CompletionCost.ofPrefill(
                                mLoads.tokens(entry), promptTokens, mPaces.pace(entry)));
    }

    /**
     * Orders upstreams by cost.
     *
     * @param tried the upstreams that were already sent the request
     * @return the available upstreams that accept runs, the cheapest first; if all available ones
     *     refuse runs, those; if all are ejected, those that may take calls nevertheless, or else
     *     the one whose ejection ends first
     */
    private List<UpstreamEntry> ordered(
            Collection<UpstreamEntry> candidates,
            Set<UpstreamIncarnation> tried,
            ToDoubleFunction<UpstreamEntry> cost) {
        long now = mLoop.millis();
        List<UpstreamEntry> untried = new ArrayList<>(candidates);
        untried.removeIf(
                entry ->
                        tried.contains(entry.incarnation())
                                || mLoads.isChangingRole(entry.incarnation()));
        untried.forEach(entry -> mLoads.ejectIfFailing(entry, now));
        List<UpstreamEntry> available = new ArrayList<>(untried);
        available.removeIf(entry -> mLoads.ejectedUntil(entry) > now);
        if (available.isEmpty()) {
            untried.stream().filter(entry -> !mLoads.isClosed(entry)).forEach(available::add);
        }
        if (available.isEmpty()) {
            return untried.stream()
                    .min(Comparator.comparingLong(mLoads::ejectedUntil))
                    .map(List::of)
                    .orElse(List.of());
        }
        List<UpstreamEntry> accepting = new ArrayList<>(available);
        accepting.removeIf(entry -> mLoads.refusesRuns(entry.incarnation(), now));
        if (accepting.isEmpty()) {
            accepting = available;
        }
        Map<UpstreamIncarnation, Double> costs = new HashMap<>();
        for (UpstreamEntry entry : accepting) {
            costs.put(entry.incarnation(), cost.applyAsDouble(entry) + mRandom.nextDouble() * 1e-6);
        }
        accepting.sort(Comparator.comparingDouble(entry -> costs.get(entry.incarnation())));
        return accepting;
    }

    private double memoryCost(UpstreamEntry entry) {
        long tokens = mLoads.tokens(entry);
        return entry.role() == UpstreamEntry.Role.DECODE
                ? CompletionCost.ofRun(tokens, mPaces.pace(entry))
                : tokens;
    }

    private double callCost(UpstreamEntry entry) {
        double cost = CompletionCost.ofCall(mLoads.calls(entry), entry.slots(), mPaces.pace(entry));
        return cost + (entry.hall().equals(mHall) ? 0 : CROSS_HALL_COST);
    }
}
