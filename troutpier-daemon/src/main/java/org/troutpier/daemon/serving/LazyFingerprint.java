package org.troutpier.daemon.serving;

import org.troutpier.daemon.quarantine.RequestFingerprint;

/**
 * What a request asks for, named when that is needed and once. Confined to the traffic loop.
 * Invariant: the body is hashed only if the whole name is asked for.
 */
final class LazyFingerprint {

    /** The request. */
    private final ServingRequest mRequest;

    /** The beginning of its name, or null before it was needed. */
    private String mOutline;

    /** Its name, or null before it was needed. */
    private RequestFingerprint mFingerprint;

    /**
     * Creates the content of a request.
     *
     * @param request the request
     */
    LazyFingerprint(ServingRequest request) {
        mRequest = request;
    }

    /**
     * Returns the beginning of the name.
     *
     * @return the outline
     */
    String coarseHash() {
        if (mOutline == null) {
            int length = mRequest.body().length;
            mOutline = RequestFingerprint.coarseHash(mRequest.host(), mRequest.target(), length);
        }
        return mOutline;
    }

    /**
     * Returns the name.
     *
     * @return the fingerprint
     */
    RequestFingerprint get() {
        if (mFingerprint == null) {
            mFingerprint =
                    RequestFingerprint.of(mRequest.host(), mRequest.target(), mRequest.body());
        }
        return mFingerprint;
    }
}
