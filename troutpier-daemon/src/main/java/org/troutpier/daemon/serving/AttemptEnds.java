package org.troutpier.daemon.serving;

import org.troutpier.common.result.ResultCode;
import org.troutpier.daemon.upstream.AttemptEnd;

/** Maps the head of an answer to the end of its attempt. Stateless and thread safe. */
final class AttemptEnds {

    private AttemptEnds() {}

    /** Returns the end of an attempt whose head is not a success. */
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
