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
 * Decides which request starts, when and where. Confined to the control thread. Invariant: every
 * ticket hears exactly one answer, and whatever a grant takes is given back once.
 */
public final class AdmissionController {

    /** How often tickets that wait in vain are looked for, milliseconds. */
    private static final long SWEEP_INTERVAL_MILLIS = 20;

    /** Nanoseconds in a microsecond. */
    private static final long NANOS_PER_MICRO = 1000;

    /** What became of the first of a queue. */
    private enum Decision {
        /** It was granted. */
        STARTED,
        /** It was refused. */
        REFUSED,
        /** It waits for room. */
        WAITS
    }

    /** The router's identity, threads, clock and metrics. */
    private final Node mNode;

    /** All upstreams. */
    private final UpstreamRegistry mUpstreamRegistry;

    /** How decode slots are shared among routers. */
    private final DecodePermits mPermits;

    /** How a pair of engines is chosen. */
    private final PairSelector mSelector;

    /** Whether a request whose target is out of reach is refused. */
    private final boolean mShed;

    /** What waits, by model or service. */
    private final Map<String, FairQueue<Ticket>> mQueues = new HashMap<>();

    /** How far the predicted first token was off, microseconds. */
    private final Histogram mPredictionError;

    /** The declarations in force. */
    private Declarations mDeclarations = Declarations.EMPTY;

    /**
     * Creates a controller.
     *
     * @param node the router's identity, threads, clock and metrics
     * @param registry all upstreams
     * @param permits how decode slots are shared among routers
     * @param selector how a pair of engines is chosen
     * @param shed whether a request whose target is out of reach is refused
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
        node.control().every(this::sweep, SWEEP_INTERVAL_MILLIS);
    }

    /**
     * Takes new declarations.
     *
     * @param declarations the declarations in force
     */
    public void apply(Declarations declarations) {
        mDeclarations = declarations;
        mUpstreamRegistry.apply(declarations);
        dispatchAll();
    }

    /**
     * Takes a ticket: it starts, waits or is refused.
     *
     * @param ticket the ticket
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
     * Takes a ticket back.
     *
     * @param ticket the ticket
     * @return whether it was still waiting
     */
    public boolean withdraw(Ticket ticket) {
        return queue(ticket.requestClass()).remove(ticket.requestClass().partner(), ticket);
    }

    /**
     * Takes note that a grant's prefill has ended, well or not.
     *
     * @param grant the grant
     * @param nanos how long it took, 0 where it did not end well
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
     * Takes note of a grant's first token.
     *
     * @param grant the grant
     * @param stepNanos how long it took from the decode request
     */
    public void onFirstToken(Grant grant, long stepNanos) {
        double predicted = grant.mainState().predictedFirstStepNanos();
        long error = Math.abs((long) predicted - stepNanos);
        mPredictionError.update(error / NANOS_PER_MICRO);
        grant.mainState().recordFirstStep(stepNanos);
    }

    /**
     * Ends a grant: whatever it still holds is given back.
     *
     * @param grant the grant
     */
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

    /**
     * Takes note that an upstream could not be reached.
     *
     * @param id the upstream
     */
    public void onUnreachable(UpstreamId id) {
        UpstreamState state = mUpstreamRegistry.get(id);
        if (state != null) {
            state.recordUnreachable(mNode.nanos().getAsLong());
        }
    }

    /**
     * Takes note that an upstream had no room, or is leaving.
     *
     * @param id the upstream
     * @param leaving whether it said that it is leaving
     */
    public void onRefusal(UpstreamId id, boolean leaving) {
        UpstreamState state = mUpstreamRegistry.get(id);
        if (state != null && leaving) {
            state.setLeaving(true);
        } else if (state != null) {
            mPermits.onRefusal(state);
        }
    }

    /** Starts whatever can start now. */
    public void dispatchAll() {
        for (String serves : List.copyOf(mQueues.keySet())) {
            dispatch(mQueues.get(serves));
        }
    }

    /**
     * Counts those who wait.
     *
     * @return the count, over all queues
     */
    public int waitingCount() {
        return mQueues.values().stream().mapToInt(FairQueue::size).sum();
    }

    /**
     * Returns the queue for a class.
     *
     * @param declared the class
     * @return the queue for the model or service that it asks
     */
    private FairQueue<Ticket> queue(ClassDeclaration requestClass) {
        String name = requestClass.kind() + " " + requestClass.serves();
        return mQueues.computeIfAbsent(name, key -> new FairQueue<>());
    }

    /**
     * Starts whatever can start of a class's queue.
     *
     * @param declared the class
     */
    private void dispatch(ClassDeclaration requestClass) {
        dispatch(queue(requestClass));
    }

    /**
     * Starts whatever can start of a queue, in its order.
     *
     * @param queue the queue
     */
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

    /**
     * Starts or refuses a completion.
     *
     * @param ticket its ticket
     * @return what was decided
     */
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

    /**
     * Starts or refuses a call to a plain service.
     *
     * @param ticket its ticket
     * @return what was decided
     */
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
     * Decides on a ticket for which no upstream is usable: one that can wait waits for an upstream
     * that failed a moment ago to come back; one with a target is refused at once.
     *
     * @param ticket the ticket
     * @param detail what is missing
     * @return what was decided
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

    /**
     * Returns what a ticket asks for.
     *
     * @param ticket the ticket
     * @return the model or service
     */
    private static String serves(Ticket ticket) {
        return ticket.requestClass().serves();
    }

    /**
     * Leaves out the upstreams that failed a request before, unless none would be left.
     *
     * @param ticket the request's ticket
     * @param states the upstreams
     * @return those to choose from
     */
    private static List<UpstreamState> preferUntried(Ticket ticket, List<UpstreamState> states) {
        Predicate<UpstreamState> failedBefore =
                state -> ticket.failedUpstreams().contains(state.declaration().id());
        List<UpstreamState> untried = states.stream().filter(failedBefore.negate()).toList();
        return untried.isEmpty() ? states : untried;
    }

    /**
     * Returns whether a first token would come too late to be of use.
     *
     * @param ticket the request's ticket
     * @param firstTokenNanos when it would come
     * @return whether to refuse
     */
    private boolean isTooLate(Ticket ticket, long firstTokenNanos) {
        return mShed
                && ticket.requestClass().hasTarget()
                && firstTokenNanos - ticket.dueNanos() > 0;
    }

    /** Refuses the tickets whose time has passed while they waited. */
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
     * Predicts the least time to the first token, if the request started now.
     *
     * @param ticket the request's ticket
     * @param now the time
     * @return nanoseconds
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

    /**
     * Refuses a ticket.
     *
     * @param ticket the ticket
     * @param code why
     * @param detail what exactly
     */
    private static void refuse(Ticket ticket, ResultCode code, String detail) {
        ticket.listener().onRefused(new TroutpierException(code, detail));
    }

    /**
     * Returns a partner's weight.
     *
     * @param partner the partner
     * @return its share
     */
    private double weight(PartnerId partner) {
        return mDeclarations.partner(partner).map(PartnerDeclaration::share).orElse(1);
    }
}
