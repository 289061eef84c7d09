package org.troutpier.daemon.serving;

import java.util.ArrayList;
import java.util.List;
import org.troutpier.daemon.quarantine.CrashTrait;
import org.troutpier.daemon.quarantine.RequestFingerprint;
import org.troutpier.daemon.quarantine.TrialPermit;

/**
 * The traits by which a request that crashes upstreams is recognized when it comes again: its
 * content, and the parts that its prompt shares with others. Computed on first use. Confined to the
 * traffic loop. Invariants: the body is hashed only if the full fingerprint is needed; the part
 * that is specific to the request is no trait.
 */
final class RequestTraits {

    /** Maximum number of parts that are considered, the first ones of the prompt. */
    private static final int MAX_PARTS = 32;

    private final ServingRequest mRequest;

    private final String mService;

    private final TrialPermit mTrialPermit = new TrialPermit();

    /** The coarse hash, or null until it is needed. */
    private String mCoarseHash;

    /** The full fingerprint, or null until it is needed. */
    private RequestFingerprint mContent;

    /** The parts, or null until they are needed. */
    private List<CrashTrait.ForPart> mParts;

    /**
     * Creates the traits of a request.
     *
     * @param service the service that runs it
     */
    RequestTraits(ServingRequest request, String service) {
        mRequest = request;
        mService = service;
    }

    /** Returns the service that runs the request. */
    String service() {
        return mService;
    }

    /** Returns the request's permit to be run in spite of a quarantined trait. */
    TrialPermit trialPermit() {
        return mTrialPermit;
    }

    /** Returns the coarse hash, which does not cover the content of the body. */
    String coarseHash() {
        if (mCoarseHash == null) {
            int length = mRequest.body().length;
            mCoarseHash = RequestFingerprint.coarseHash(mRequest.host(), mRequest.target(), length);
        }
        return mCoarseHash;
    }

    /** Returns the fingerprint of the content. */
    RequestFingerprint content() {
        if (mContent == null) {
            mContent = RequestFingerprint.of(mRequest.host(), mRequest.target(), mRequest.body());
        }
        return mContent;
    }

    /** Returns the shared parts of the prompt in order; empty for a request without a prompt. */
    List<CrashTrait.ForPart> parts() {
        if (mParts == null) {
            mParts =
                    mRequest.prompt().orElse(PromptMetadata.NONE).sharedPartIds().stream()
                            .limit(MAX_PARTS)
                            .distinct()
                            .map(CrashTrait.ForPart::of)
                            .toList();
        }
        return mParts;
    }

    /** Returns all traits. */
    List<CrashTrait> all() {
        List<CrashTrait> all = new ArrayList<>(parts());
        all.add(content());
        return all;
    }
}
