package org.troutpier.daemon.serving;

import java.util.Optional;
import org.troutpier.daemon.route.EngineTraits;

/**
 * The prefill result of one request, kept for the next decode engine while no engine has fetched
 * it. Confined to the traffic loop. Invariant: a result that is kept is taken or discarded.
 */
final class PrefillResult {

    private final ServingContext mContext;

    private final EngineTraits mTraits;

    /** The result that no decode engine has fetched, or null. */
    private UpstreamPort.StoredPrompt mKept;

    /** Until when the last result can be fetched, milliseconds on the loop's clock. */
    private long mExpiry;

    PrefillResult(ServingContext context, EngineTraits traits) {
        mContext = context;
        mTraits = traits;
    }

    /** Records that a prefill engine has stored a result. */
    void recordStored() {
        mExpiry =
                mContext.loop().millis()
                        + mTraits.kvHandleMillis()
                        - ServingSettings.FETCH_MARGIN_MILLIS;
    }

    /** Keeps a result that was not fetched. */
    void keep(UpstreamPort.StoredPrompt result) {
        mKept = result;
    }

    /**
     * Takes the kept result if it has not expired and its engine has not restarted; discards it
     * otherwise.
     */
    Optional<UpstreamPort.StoredPrompt> take() {
        if (mKept == null) {
            return Optional.empty();
        }
        boolean valid =
                mContext.loop().millis() < mExpiry
                        && !mContext.directory().hasRestarted(mKept.upstream().incarnation());
        if (!valid) {
            discard();
            return Optional.empty();
        }
        UpstreamPort.StoredPrompt taken = mKept;
        mKept = null;
        return Optional.of(taken);
    }

    /** Frees a kept result. */
    void discard() {
        if (mKept != null) {
            mContext.port().discard(mKept);
            mKept = null;
        }
    }
}
