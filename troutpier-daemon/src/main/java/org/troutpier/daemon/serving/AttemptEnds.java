package org.troutpier.daemon.serving;

import org.troutpier.common.result.ResultCode;
import org.troutpier.daemon.upstream.AttemptEnd;

/** Tells what the head of an answer says of its attempt. Stateless and thread safe. */
final class AttemptEnds {

    /** Not to be instantiated. */
    private AttemptEnds() {}

    /**
     * Tells how an attempt ended whose head is no success.
     *
     * @param head the head
     * @return the end
     */
    static AttemptEnd end(UpstreamPort.Head head) {
        String detail = "status " + head.status() + " " + head.verdict();
        return switch (head.verdict()) {
            case NOT_STARTED -> AttemptEnd.refused(false, detail);
            case OTHER_UPSTREAM -> AttemptEnd.refused(true, detail);
            case FOREIGN ->
                    new AttemptEnd(false, false, false, ResultCode.UPSTREAM_MISMATCH, detail);
            default -> AttemptEnd.failed(ResultCode.UPSTREAM_FAILED, detail);
        };
    }
}
