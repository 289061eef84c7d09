package org.troutpier.daemon.request;

import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Predicate;
import org.troutpier.common.result.TroutpierException;
import org.troutpier.daemon.admission.Grant;
import org.troutpier.daemon.admission.Ticket;

/**
 * Searches upstreams for another attempt of a request while its silent attempt goes on. Confined to
 * the event loop of the caller's connection. Invariant: a search that finds nothing useful, or is
 * ended, gives back its retry and its grant.
 */
final class ReplacementSearch {

    /** Pause after a search that found nothing. */
    private static final long PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private final ExchangeServices mServices;

    private final Arrival mArrival;

    /** The running search, or null. */
    private HeldAdmission mSearch;

    /** Whether a search has found nothing. */
    private boolean mFailedBefore;

    /** When the last search failed. */
    private long mFailedAtNanos;

    /** Creates an instance that does not search. */
    ReplacementSearch(ExchangeServices services, Arrival arrival) {
        mServices = services;
        mArrival = arrival;
    }

    /**
     * Starts a search unless one is running or has just failed, or the retry budget is spent.
     *
     * @param ticket creates the ticket of the search for a listener
     * @param isUseful whether a grant is of use; any other one is released
     * @param onFound receives the grant, which it owns, at most once
     */
    void tryStart(
            Function<Ticket.Listener, Ticket> ticket,
            Predicate<Grant> isUseful,
            Consumer<Grant> onFound) {
        boolean paused = mFailedBefore && now() - mFailedAtNanos < PAUSE_NANOS;
        if (mSearch != null
                || paused
                || !mServices.budget().tryAcquire(mArrival.requestClass().partner())) {
            return;
        }
        mSearch = new HeldAdmission(mServices);
        mSearch.submit(ticket.apply(new SearchListener(mSearch, isUseful, onFound)));
    }

    /** Ends the search, if one is running. */
    void end() {
        if (mSearch != null) {
            mSearch.leave();
            mSearch = null;
            mServices.budget().giveBack(mArrival.requestClass().partner());
        }
    }

    private void fail() {
        mFailedBefore = true;
        mFailedAtNanos = now();
        end();
    }

    private long now() {
        return mServices.node().nanos().getAsLong();
    }

    /** Receives the decision on a search on the control thread. */
    private final class SearchListener implements Ticket.Listener {

        private final HeldAdmission mOwnSearch;

        private final Predicate<Grant> mIsUseful;

        private final Consumer<Grant> mOnFound;

        SearchListener(HeldAdmission search, Predicate<Grant> isUseful, Consumer<Grant> onFound) {
            mOwnSearch = search;
            mIsUseful = isUseful;
            mOnFound = onFound;
        }

        /** {@inheritDoc} */
        @Override
        public void onGranted(Grant grant) {
            mArrival.runOnLoop(() -> accept(grant));
        }

        private void accept(Grant grant) {
            if (mSearch != mOwnSearch) {
                mOwnSearch.release(grant);
            } else if (mIsUseful.test(grant)) {
                mSearch = null;
                mOnFound.accept(grant);
            } else {
                mOwnSearch.accept(grant);
                fail();
            }
        }

        /** {@inheritDoc} */
        @Override
        public void onRefused(TroutpierException reason) {
            mArrival.runOnLoop(
                    () -> {
                        if (mSearch == mOwnSearch) {
                            fail();
                        }
                    });
        }
    }
}
