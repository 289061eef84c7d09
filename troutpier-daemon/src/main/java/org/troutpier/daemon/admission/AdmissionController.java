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
    private static final long SWEEP_MILLIS = 20;

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
        node.control().scheduleWithFixedDelay(this::sweep, SWEEP_MILLIS);
    }

    /**
     * Takes new declarations.
     *
     * @param declarations the declarations in force
     */
    public void apply(Declarations declarations) {
        mDeclarations = declarations;
        mUpstreamRegistry.apply(declarations);
        pumpAll();
    }

    /**
     * Takes a ticket: it starts, waits or is refused.
     *
     * @param ticket the ticket
     */
    public void submit(Ticket ticket) {
        PartnerId partner = ticket.declared().partner();
        FairQueue<Ticket> queue = queue(ticket.declared());
        int limit = mDeclarations.partner(partner).map(PartnerDeclaration::queueLimit).orElse(0);
        if (queue.waiting(partner) >= limit) {
            refuse(ticket, ResultCode.QUEUE_FULL, partner + " has " + limit + " waiting");
            return;
        }
        queue.add(partner, ticket, ticket.dueNanos(), 1);
        pump(ticket.declared());
    }

    /**
     * Takes a ticket back.
     *
     * @param ticket the ticket
     * @return whether it was still waiting
     */
    public boolean withdraw(Ticket ticket) {
        return queue(ticket.declared()).remove(ticket.declared().partner(), ticket);
    }

    /**
     * Takes note that a grant's prefill has ended, well or not.
     *
     * @param grant the grant
     * @param nanos how long it took, 0 where it did not end well
     */
    public void prefillEnded(Grant grant, long nanos) {
        if (grant.leavePrefill()) {
            grant.prefillState().left(grant.uncachedTokens());
            if (nanos > 0) {
                grant.prefillState().prefilled(grant.tokensToDone(), nanos);
            }
        }
    }

    /**
     * Takes note of a grant's first token.
     *
     * @param grant the grant
     * @param stepNanos how long it took from the decode request
     */
    public void firstToken(Grant grant, long stepNanos) {
        double predicted = grant.mainState().firstStepNanos();
        long error = Math.abs((long) predicted - stepNanos);
        mPredictionError.update(error / NANOS_PER_MICRO);
        grant.mainState().firstStep(stepNanos);
    }

    /**
     * Ends a grant: whatever it still holds is given back.
     *
     * @param grant the grant
     */
    public void ended(Grant grant) {
        prefillEnded(grant, 0);
        if (grant.leaveMain()) {
            UpstreamState main = grant.mainState();
            main.left(0);
            main.held(mNode.nanos().getAsLong() - grant.grantedNanos());
            if (main.declared().role() != Role.SERVICE) {
                mPermits.giveBack(main);
            }
            pumpAll();
        }
    }

    /**
     * Takes note that an upstream could not be reached.
     *
     * @param id the upstream
     */
    public void unreached(UpstreamId id) {
        UpstreamState state = mUpstreamRegistry.get(id);
        if (state != null) {
            state.unreached(mNode.nanos().getAsLong());
        }
    }

    /**
     * Takes note that an upstream had no room, or is leaving.
     *
     * @param id the upstream
     * @param leaving whether it said that it is leaving
     */
    public void refusedBy(UpstreamId id, boolean leaving) {
        UpstreamState state = mUpstreamRegistry.get(id);
        if (state != null && leaving) {
            state.leaving(true);
        } else if (state != null) {
            mPermits.refusedBy(state);
        }
    }

    /** Starts whatever can start now. */
    public void pumpAll() {
        for (String serves : List.copyOf(mQueues.keySet())) {
            pump(mQueues.get(serves));
        }
    }

    /**
     * Counts those who wait.
     *
     * @return the count, over all queues
     */
    public int waiting() {
        return mQueues.values().stream().mapToInt(FairQueue::size).sum();
    }

    /**
     * Returns the queue for a class.
     *
     * @param declared the class
     * @return the queue for the model or service that it asks
     */
    private FairQueue<Ticket> queue(ClassDeclaration declared) {
        String name = declared.kind() + " " + declared.serves();
        return mQueues.computeIfAbsent(name, key -> new FairQueue<>());
    }

    /**
     * Starts whatever can start of a class's queue.
     *
     * @param declared the class
     */
    private void pump(ClassDeclaration declared) {
        pump(queue(declared));
    }

    /**
     * Starts whatever can start of a queue, in its order.
     *
     * @param queue the queue
     */
    private void pump(FairQueue<Ticket> queue) {
        while (true) {
            Optional<Ticket> first = queue.peek();
            if (first.isEmpty()) {
                return;
            }
            Ticket ticket = first.get();
            boolean completion = ticket.declared().kind() == ClassDeclaration.Kind.COMPLETION;
            Decision decision = completion ? placeCompletion(ticket) : placeCall(ticket);
            if (decision == Decision.WAITS) {
                return;
            }
            queue.remove(ticket.declared().partner(), ticket);
            if (decision == Decision.STARTED) {
                queue.charge(ticket.declared().partner(), 1, this::weight);
            }
        }
    }

    /**
     * Starts or refuses a completion.
     *
     * @param ticket its ticket
     * @return what was decided
     */
    private Decision placeCompletion(Ticket ticket) {
        long now = mNode.nanos().getAsLong();
        String model = ticket.declared().serves();
        List<UpstreamState> prefills =
                wanted(ticket, mUpstreamRegistry.usable(model, Role.PREFILL, now));
        List<UpstreamState> decodes =
                wanted(ticket, mUpstreamRegistry.usable(model, Role.DECODE, now));
        if (prefills.isEmpty() || decodes.isEmpty()) {
            return withoutUpstream(ticket, "no live prefill and decode for " + model);
        }
        List<UpstreamState> free = decodes.stream().filter(mPermits::available).toList();
        if (free.isEmpty()) {
            mPermits.wanted(decodes, queue(ticket.declared()).size());
            return Decision.WAITS;
        }
        PairSelector.Pair pair =
                mSelector.select(ticket.blocks(), ticket.promptTokens(), prefills, free);
        if (tooLate(ticket, now + (long) pair.firstTokenNanos())) {
            refuse(ticket, ResultCode.TARGET_OUT_OF_REACH, "the first token would be late");
            return Decision.REFUSED;
        }
        mPermits.take(pair.decode());
        Grant grant = new Grant(pair.prefill(), pair.decode(), pair.uncachedTokens(), now);
        pair.prefill().entered(pair.uncachedTokens());
        pair.decode().entered(0);
        ticket.answer().granted(grant);
        return Decision.STARTED;
    }

    /**
     * Starts or refuses a call to a plain service.
     *
     * @param ticket its ticket
     * @return what was decided
     */
    private Decision placeCall(Ticket ticket) {
        long now = mNode.nanos().getAsLong();
        String service = ticket.declared().serves();
        List<UpstreamState> replicas =
                wanted(ticket, mUpstreamRegistry.usable(service, Role.SERVICE, now));
        if (replicas.isEmpty()) {
            return withoutUpstream(ticket, "no live replica of " + service);
        }
        HallId hall = mNode.hall();
        Optional<UpstreamState> replica =
                replicas.stream()
                        .filter(state -> state.guessedRunning() < state.declared().slots())
                        .min(
                                Comparator.comparingInt(UpstreamState::guessedRunning)
                                        .thenComparing(
                                                state -> !state.declared().hall().equals(hall)));
        if (replica.isEmpty()) {
            return Decision.WAITS;
        }
        replica.get().entered(0);
        ticket.answer().granted(new Grant(null, replica.get(), 0, now));
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
    private Decision withoutUpstream(Ticket ticket, String detail) {
        boolean hope =
                mUpstreamRegistry.all().stream()
                        .filter(state -> state.declared().serves().equals(serves(ticket)))
                        .anyMatch(state -> !state.declared().draining());
        if (hope && !ticket.declared().hasTarget()) {
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
        return ticket.declared().serves();
    }

    /**
     * Leaves out the upstreams that failed a request before, unless none would be left.
     *
     * @param ticket the request's ticket
     * @param states the upstreams
     * @return those to choose from
     */
    private static List<UpstreamState> wanted(Ticket ticket, List<UpstreamState> states) {
        Predicate<UpstreamState> avoided = state -> ticket.avoid().contains(state.declared().id());
        List<UpstreamState> others = states.stream().filter(avoided.negate()).toList();
        return others.isEmpty() ? states : others;
    }

    /**
     * Returns whether a first token would come too late to be of use.
     *
     * @param ticket the request's ticket
     * @param firstTokenNanos when it would come
     * @return whether to refuse
     */
    private boolean tooLate(Ticket ticket, long firstTokenNanos) {
        return mShed && ticket.declared().hasTarget() && firstTokenNanos - ticket.dueNanos() > 0;
    }

    /** Refuses the tickets whose time has passed while they waited. */
    private void sweep() {
        long now = mNode.nanos().getAsLong();
        for (FairQueue<Ticket> queue : mQueues.values()) {
            List<Ticket> late = new ArrayList<>();
            queue.forEach(
                    ticket -> {
                        if (tooLate(ticket, now + bestFirstStep(ticket, now))) {
                            late.add(ticket);
                        }
                    });
            for (Ticket ticket : late) {
                queue.remove(ticket.declared().partner(), ticket);
                refuse(ticket, ResultCode.TARGET_OUT_OF_REACH, "the target passed in the queue");
            }
        }
        pumpAll();
    }

    /**
     * Predicts the least time to the first token, if the request started now.
     *
     * @param ticket the request's ticket
     * @param now the time
     * @return nanoseconds
     */
    private long bestFirstStep(Ticket ticket, long now) {
        if (ticket.declared().kind() == ClassDeclaration.Kind.SERVICE) {
            return 0;
        }
        return mUpstreamRegistry.usable(ticket.declared().serves(), Role.DECODE, now).stream()
                .mapToLong(state -> (long) state.firstStepNanos())
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
        ticket.answer().refused(new TroutpierException(code, detail));
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
