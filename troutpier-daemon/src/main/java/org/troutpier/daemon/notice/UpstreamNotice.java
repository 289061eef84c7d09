package org.troutpier.daemon.notice;

/**
 * All notices that one response contains about its upstream. An adapter creates one for every
 * response, whatever the call and its outcome; a response that does not originate from the upstream
 * itself contains none. Immutable and thread safe.
 *
 * @param rate the rate of requests that the upstream accepts from all routers together
 * @param backOff the back-off that the upstream requests from this router
 * @param leaving whether this incarnation of the upstream is about to end
 */
public record UpstreamNotice(AnnouncedRate rate, AnnouncedBackOff backOff, NoticeState leaving) {

    /** No notices. */
    public static final UpstreamNotice NONE =
            new UpstreamNotice(AnnouncedRate.NONE, AnnouncedBackOff.NONE, NoticeState.NONE);
}
