package org.troutpier.daemon.notice;

/**
 * All that one answer announces of its upstream. An adapter makes it of every answer, whatever the
 * call was for and however it ended; an answer that is not the upstream's own announces nothing.
 * Immutable and thread safe.
 *
 * @param rate the requests a second that it takes from all routers together
 * @param backOff for how long it wants no call from this router
 * @param leaving whether its start is about to end
 */
public record UpstreamNotice(AnnouncedRate rate, AnnouncedBackOff backOff, NoticeState leaving) {

    /** An answer that announces nothing. */
    public static final UpstreamNotice NONE =
            new UpstreamNotice(AnnouncedRate.NONE, AnnouncedBackOff.NONE, NoticeState.NONE);
}
