package org.troutpier.daemon.serving;

import org.troutpier.daemon.quarantine.RequestFingerprint;

/**
 * The fingerprint of a request's content, computed on first use. Confined to the traffic loop.
 * Invariant: the body is hashed only if the full fingerprint is needed.
 */
final class LazyFingerprint {

    private final ServingRequest mRequest;

    /** The coarse hash, or null until it is needed. */
    private String mCoarseHash;

    /** The full fingerprint, or null until it is needed. */
    private RequestFingerprint mFingerprint;

    LazyFingerprint(ServingRequest request) {
        mRequest = request;
    }

    /** Returns the coarse hash, which does not cover the content of the body. */
    String coarseHash() {
        if (mCoarseHash == null) {
            int length = mRequest.body().length;
            mCoarseHash = RequestFingerprint.coarseHash(mRequest.host(), mRequest.target(), length);
        }
        return mCoarseHash;
    }

    /** Returns the full fingerprint. */
    RequestFingerprint get() {
        if (mFingerprint == null) {
            mFingerprint =
                    RequestFingerprint.of(mRequest.host(), mRequest.target(), mRequest.body());
        }
        return mFingerprint;
    }
}
