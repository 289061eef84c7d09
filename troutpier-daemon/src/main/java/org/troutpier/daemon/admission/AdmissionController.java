package org.troutpier.daemon.admission;

import com.codahale.metrics.Histogram;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.troutpier.common.declaration.ClassDeclaration;
import org.troutpier.common.declaration.Declarations;
import org.troutpier.common.declaration.PartnerDeclaration;
import org.troutpier.common.declaration.Role;
import org.troutpier.common.id.HallId;
import org.troutpier.common.id.PartnerId;
import org.troutpier.common.id.UpstreamId;
import org.troutpier.common.result.ResultCode;
import org.troutpier.common.result.TroutpierException;
import org.troutpier.daemon.node.Node;
import org.troutpier.daemon.placement.PairSelector;
import org.troutpier.daemon.placement.UpstreamRegistry;
import org.troutpier.daemon.placement.UpstreamState;

/**
 * Decides which request starts, when, and on which upstreams. Confined to the control thread.
 * Invariant: the listener of every submitted ticket is called exactly once, unless the ticket is
 * withdrawn while it waits, and whatever a grant acquires is released exactly once.
 */
public final class AdmissionController {

    /** Interval at which waiting tickets are checked for missed targets. */
    private static final long SWEEP_INTERVAL_MILLIS = 20;

    private static final long NANOS_PER_MICRO = 1000;

    /** Outcome for the first ticket of a queue. */
    private enum Decision {
        STARTED,
        REFUSED,
        /** The ticket stays in its queue until capacity is available. */
        WAITS
    }

    private final Node mNode;

    private final UpstreamRegistry mUpstreamRegistry;

    private final DecodePermits mPermits;

    private final PairSelector mSelector;

    /** Whether requests that cannot meet their first-token target are refused (load shedding). */
    private final boolean mShed;

    /** Waiting tickets by kind and model or service. */
    private final Map<String, FairQueue<Ticket>> mQueues = new HashMap<>();

    /** Absolute error of the predicted time to the first token, microseconds. */
    private final Histogram mPredictionError;

    private Declarations mDeclarations = Declarations.EMPTY;

    /**
     * Creates a controller.
     *
     * @param node identity, threads, clock and metrics of this router
     * @param registry all upstreams
     * @param permits admission to decode slots that several routers share
     * @param selector chooses the prefill and decode engine of a completion
     * @param shed whether requests that cannot meet their first-token target are refused
     */
    public AdmissionController(
            Node node,
            UpstreamRegistry registry,
            DecodePermits permits,
            PairSelector selector,
            boolean shed) {
        mNode = node;
        mUpstreamRegistry = registry;
        mPermits = permits;
        mSelector = selector;
        mShed = shed;
        mPredictionError = node.metrics().histogram("admission.prediction-error-micros");
        node.control().scheduleWithFixedDelay(this::sweep, SWEEP_INTERVAL_MILLIS);
    }

    /** Applies new declarations and starts what they allow. */
    public void apply(Declarations declarations) {
        mDeclarations = declarations;
        mUpstreamRegistry.apply(declarations);
        dispatchAll();
    }

    /**
     * Submits a ticket, which is granted, queued or refused. It is refused with {@link
     * ResultCode#QUEUE_FULL} if its partner's queue limit is reached.
     */
    public void submit(Ticket ticket) {
        PartnerId partner = ticket.requestClass().partner();
        FairQueue<Ticket> queue = queue(ticket.requestClass());
        int limit = mDeclarations.partner(partner).map(PartnerDeclaration::queueLimit).orElse(0);
        if (queue.size(partner) >= limit) {
            refuse(ticket, ResultCode.QUEUE_FULL, partner + " has " + limit + " waiting");
            return;
        }
        queue.add(partner, ticket, ticket.dueNanos(), 1);
        dispatch(ticket.requestClass());
    }

    /**
     * Withdraws a ticket. If it was still waiting, its listener is not called.
     *
     * @return whether it was still waiting
     */
    public boolean withdraw(Ticket ticket) {
        return queue(ticket.requestClass()).remove(ticket.requestClass().partner(), ticket);
    }

    /**
     * Records that the prefill of a grant has ended and releases its prefill half.
     *
     * @param grant the grant
     * @param nanos duration of the prefill; 0 if it failed, so that it is not measured
     */
    public void onPrefillEnd(Grant grant, long nanos) {
        if (grant.releasePrefill()) {
            grant.prefillState().recordEnd(grant.uncachedTokens());
            if (nanos > 0) {
                grant.prefillState().recordPrefill(grant.tokensUntilDone(), nanos);
            }
        }
    }

    /**
     * Records the first token of a grant.
     *
     * @param grant the grant
     * @param stepNanos time since the decode request was sent
     */
    public void onFirstToken(Grant grant, long stepNanos) {
        double predicted = grant.mainState().predictedFirstStepNanos();
        long error = Math.abs((long) predicted - stepNanos);
        mPredictionError.update(error / NANOS_PER_MICRO);
        grant.mainState().recordFirstStep(stepNanos);
    }

    /** Releases whatever a grant still holds; further calls have no effect. */
    public void release(Grant grant) {
        onPrefillEnd(grant, 0);
        if (grant.releaseMain()) {
            UpstreamState main = grant.mainState();
            main.recordEnd(0);
            main.recordHold(mNode.nanos().getAsLong() - grant.grantedNanos());
            if (main.declaration().role() != Role.SERVICE) {
                mPermits.release(main);
            }
            dispatchAll();
        }
    }

    /** Records that an upstream could not be reached. */
    public void onUnreachable(UpstreamId id) {
        UpstreamState state = mUpstreamRegistry.get(id);
        if (state != null) {
            state.recordUnreachable(mNode.nanos().getAsLong());
        }
    }

    /**
     * Records that an upstream refused a request because it had no capacity or is leaving.
     *
     * @param id the upstream
     * @param leaving whether it reported that it is leaving
     */
    public void onRefusal(UpstreamId id, boolean leaving) {
        UpstreamState state = mUpstreamRegistry.get(id);
        if (state != null && leaving) {
            state.setLeaving(true);
        } else if (state != null) {
            mPermits.onRefusal(state);
        }
    }

    /** Starts every waiting request that can start now. */
    public void dispatchAll() {
        for (String serves : List.copyOf(mQueues.keySet())) {
            dispatch(mQueues.get(serves));
        }
    }

    /** Returns the number of waiting requests in all queues. */
    public int waitingCount() {
        return mQueues.values().stream().mapToInt(FairQueue::size).sum();
    }

    /** Returns the queue for the model or service of a request class. */
    private FairQueue<Ticket> queue(ClassDeclaration requestClass) {
        String name = requestClass.kind() + " " + requestClass.serves();
        return mQueues.computeIfAbsent(name, key -> new FairQueue<>());
    }

    private void dispatch(ClassDeclaration requestClass) {
        dispatch(queue(requestClass));
    }

    /** Starts or refuses requests from the head of a queue until one has to wait. */
    private void dispatch(FairQueue<Ticket> queue) {
        while (true) {
            Optional<Ticket> first = queue.peek();
            if (first.isEmpty()) {
                return;
            }
            Ticket ticket = first.get();
            boolean completion = ticket.requestClass().kind() == ClassDeclaration.Kind.COMPLETION;
            Decision decision = completion ? admitCompletion(ticket) : admitServiceCall(ticket);
            if (decision == Decision.WAITS) {
                return;
            }
            queue.remove(ticket.requestClass().partner(), ticket);
            if (decision == Decision.STARTED) {
                queue.charge(ticket.requestClass().partner(), 1, this::weight);
            }
        }
    }

    private Decision admitCompletion(Ticket ticket) {
        long now = mNode.nanos().getAsLong();
        String model = ticket.requestClass().serves();
        List<UpstreamState> prefills =
                preferUntried(ticket, mUpstreamRegistry.usable(model, Role.PREFILL, now));
        List<UpstreamState> decodes =
                preferUntried(ticket, mUpstreamRegistry.usable(model, Role.DECODE, now));
        if (prefills.isEmpty() || decodes.isEmpty()) {
            return waitOrRefuse(ticket, "no live prefill and decode for " + model);
        }
        List<UpstreamState> free = decodes.stream().filter(mPermits::isAvailable).toList();
        if (free.isEmpty()) {
            mPermits.requestPermits(decodes, queue(ticket.requestClass()).size());
            return Decision.WAITS;
        }
        PairSelector.Pair pair =
                mSelector.select(ticket.blocks(), ticket.promptTokens(), prefills, free);
        if (isTooLate(ticket, now + (long) pair.firstTokenNanos())) {
            refuse(ticket, ResultCode.TARGET_OUT_OF_REACH, "the first token would be late");
            return Decision.REFUSED;
        }
        mPermits.acquire(pair.decode());
        Grant grant = new Grant(pair.prefill(), pair.decode(), pair.uncachedTokens(), now);
        pair.prefill().recordStart(pair.uncachedTokens());
        pair.decode().recordStart(0);
        ticket.listener().onGranted(grant);
        return Decision.STARTED;
    }

    private Decision admitServiceCall(Ticket ticket) {
        long now = mNode.nanos().getAsLong();
        String service = ticket.requestClass().serves();
        List<UpstreamState> replicas =
                preferUntried(ticket, mUpstreamRegistry.usable(service, Role.SERVICE, now));
        if (replicas.isEmpty()) {
            return waitOrRefuse(ticket, "no live replica of " + service);
        }
        HallId hall = mNode.hall();
        Optional<UpstreamState> replica =
                replicas.stream()
                        .filter(state -> state.estimatedRunning() < state.declaration().slots())
                        .min(
                                Comparator.comparingInt(UpstreamState::estimatedRunning)
                                        .thenComparing(
                                                state -> !state.declaration().hall().equals(hall)));
        if (replica.isEmpty()) {
            return Decision.WAITS;
        }
        replica.get().recordStart(0);
        ticket.listener().onGranted(new Grant(null, replica.get(), 0, now));
        return Decision.STARTED;
    }

    /**
     * Decides on a ticket for which no upstream is usable. A request without a first-token target
     * waits if not all upstreams that serve it are draining, since one that failed a moment ago may
     * recover. Any other request is refused at once.
     */
    private Decision waitOrRefuse(Ticket ticket, String detail) {
        boolean mayRecover =
                mUpstreamRegistry.all().stream()
                        .filter(state -> state.declaration().serves().equals(serves(ticket)))
                        .anyMatch(state -> !state.declaration().draining());
        if (mayRecover && !ticket.requestClass().hasTarget()) {
            return Decision.WAITS;
        }
        refuse(ticket, ResultCode.NO_UPSTREAM, detail);
        return Decision.REFUSED;
    }

    /** Returns the model or service that a ticket requests. */
    private static String serves(Ticket ticket) {
        return ticket.requestClass().serves();
    }

    /** Filters out the upstreams that failed this request before, unless none would be left. */
    private static List<UpstreamState> preferUntried(Ticket ticket, List<UpstreamState> states) {
        Predicate<UpstreamState> failedBefore =
                state -> ticket.failedUpstreams().contains(state.declaration().id());
        List<UpstreamState> untried = states.stream().filter(failedBefore.negate()).toList();
        return untried.isEmpty() ? states : untried;
    }

    /**
     * Returns whether a request is to be refused because its first token would miss the target.
     *
     * @param firstTokenNanos predicted time of the first token on the monotonic clock
     */
    private boolean isTooLate(Ticket ticket, long firstTokenNanos) {
        return mShed
                && ticket.requestClass().hasTarget()
                && firstTokenNanos - ticket.dueNanos() > 0;
    }

    /** Refuses the waiting tickets that can no longer meet their target. */
    private void sweep() {
        long now = mNode.nanos().getAsLong();
        for (FairQueue<Ticket> queue : mQueues.values()) {
            List<Ticket> late = new ArrayList<>();
            queue.forEach(
                    ticket -> {
                        if (isTooLate(ticket, now + minFirstStepNanos(ticket, now))) {
                            late.add(ticket);
                        }
                    });
            for (Ticket ticket : late) {
                queue.remove(ticket.requestClass().partner(), ticket);
                refuse(ticket, ResultCode.TARGET_OUT_OF_REACH, "the target passed in the queue");
            }
        }
        dispatchAll();
    }

    /**
     * Returns the shortest predicted time to the first token, in nanoseconds, if decoding started
     * now; 0 for a plain service or if no engine is usable.
     */
    private long minFirstStepNanos(Ticket ticket, long now) {
        if (ticket.requestClass().kind() == ClassDeclaration.Kind.SERVICE) {
            return 0;
        }
        return mUpstreamRegistry.usable(ticket.requestClass().serves(), Role.DECODE, now).stream()
                .mapToLong(state -> (long) state.predictedFirstStepNanos())
                .min()
                .orElse(0);
    }

    private static void refuse(Ticket ticket, ResultCode code, String detail) {
        ticket.listener().onRefused(new TroutpierException(code, detail));
    }

    private double weight(PartnerId partner) {
        return mDeclarations.partner(partner).map(PartnerDeclaration::share).orElse(1);
    }
}
