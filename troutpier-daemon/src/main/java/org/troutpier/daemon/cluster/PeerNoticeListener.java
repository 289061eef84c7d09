package org.troutpier.daemon.cluster;

import java.util.List;
import org.troutpier.common.id.UpstreamIncarnation;
import org.troutpier.daemon.quarantine.CrashReport;

/** Takes what other routers tell once. Called on the control thread. */
public interface PeerNoticeListener {

    /**
     * Takes requests that were refused and will come back.
     *
     * @param keys the part of each one's prompt that is its own
     */
    void onRequestsRefused(List<String> keys);

    /**
     * Takes requests under which upstreams ended.
     *
     * @param reports what the other router knows of them
     */
    void onUpstreamsCrashed(List<CrashReport> reports);

    /**
     * Takes upstreams that have announced in their answers that they leave.
     *
     * @param upstreams their starts
     */
    void onUpstreamsLeaving(List<UpstreamIncarnation> upstreams);
}
