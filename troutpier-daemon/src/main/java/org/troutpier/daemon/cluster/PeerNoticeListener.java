package org.troutpier.daemon.cluster;

import java.util.List;
import org.troutpier.common.id.UpstreamIncarnation;
import org.troutpier.daemon.quarantine.CrashReport;

/** Receives notices from other routers, each sent once. Called on the control thread. */
public interface PeerNoticeListener {

    /**
     * Called for refused requests that are expected to return.
     *
     * @param keys for each request, the part of its prompt that is not shared with others
     */
    void onRequestsRefused(List<String> keys);

    /**
     * Called for requests during which upstreams crashed.
     *
     * @param reports the records of the other router
     */
    void onUpstreamsCrashed(List<CrashReport> reports);

    /**
     * Called for upstreams that have announced in an answer that they are leaving.
     *
     * @param upstreams their incarnations
     */
    void onUpstreamsLeaving(List<UpstreamIncarnation> upstreams);
}
