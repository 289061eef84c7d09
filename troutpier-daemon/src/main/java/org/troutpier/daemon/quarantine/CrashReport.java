package org.troutpier.daemon.quarantine;

import com.fasterxml.jackson.annotation.JsonFormat;
import org.troutpier.common.settings.Check;

/**
 * What one router tells of a request under which upstreams ended. Immutable and thread safe.
 *
 * @param request names the request
 * @param record the upstreams
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record CrashReport(RequestFingerprint request, CrashRecord record) {

    /** Checks the fields. */
    public CrashReport {
        Check.present("request", request);
        Check.present("record", record);
    }
}
