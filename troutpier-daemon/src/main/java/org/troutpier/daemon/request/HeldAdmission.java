package org.troutpier.daemon.request;

import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;
import org.troutpier.common.id.UpstreamId;
import org.troutpier.daemon.admission.AdmissionController;
import org.troutpier.daemon.admission.Grant;
import org.troutpier.daemon.admission.Ticket;
import org.troutpier.daemon.upstream.AttemptEnd;

/**
 * What one request holds at the admission controller: a ticket that waits, then the grant of its
 * current attempt. Confined to the event loop of the caller's connection; the controller is called
 * on the control thread. Invariant: each grant is released exactly once.
 */
final class HeldAdmission {

    private final ExchangeServices mServices;

    /** The ticket that waits, or null. */
    private Ticket mTicket;

    /** The upstreams that the current attempt may use, or null. */
    private Grant mGrant;

    /** The upstreams that failed the request. */
    private final Set<UpstreamId> mFailedUpstreams = new HashSet<>();

    /** Creates an instance without ticket and grant. */
    HeldAdmission(ExchangeServices services) {
        mServices = services;
    }

    /** Returns a copy of the upstreams that failed the request. */
    Set<UpstreamId> failedUpstreams() {
        return Set.copyOf(mFailedUpstreams);
    }

    void submit(Ticket ticket) {
        mTicket = ticket;
        onControl(controller -> controller.submit(ticket));
    }

    /** Accepts the grant of the ticket. */
    void accept(Grant grant) {
        mTicket = null;
        mGrant = grant;
    }

    boolean isGranted() {
        return mGrant != null;
    }

    /** Takes the grant of the current attempt, which the caller then releases. */
    Grant take() {
        Grant grant = mGrant;
        mGrant = null;
        return grant;
    }

    /** Releases a grant. */
    void release(Grant grant) {
        onControl(controller -> controller.release(grant));
    }

    /** Reports that an attempt ended without an answer, and releases its grant. */
    void release(Grant grant, UpstreamId failedUpstream, AttemptEnd end) {
        mFailedUpstreams.add(failedUpstream);
        onControl(
                controller -> {
                    if (end.neverReached()) {
                        controller.onUnreachable(failedUpstream);
                    } else if (end.notStarted()) {
                        controller.onRefusal(failedUpstream, end.leaving());
                    }
                    controller.release(grant);
                });
    }

    /** Withdraws the ticket and releases the grant, if there are any. */
    void leave() {
        if (mTicket != null) {
            Ticket ticket = mTicket;
            onControl(controller -> controller.withdraw(ticket));
            mTicket = null;
        }
        if (mGrant != null) {
            release(take());
        }
    }

    private void onControl(Consumer<AdmissionController> action) {
        mServices.node().control().execute(() -> action.accept(mServices.controller()));
    }
}
