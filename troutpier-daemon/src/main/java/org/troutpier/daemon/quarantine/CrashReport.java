package org.troutpier.daemon.quarantine;

import com.fasterxml.jackson.annotation.JsonFormat;
import org.troutpier.common.settings.Check;

/**
 * Report of a router about a request during which upstreams crashed. Immutable and thread safe.
 *
 * @param request the fingerprint of the request
 * @param record the crashes
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record CrashReport(RequestFingerprint request, CrashRecord record) {

    /** Validates the components. */
    public CrashReport {
        Check.present("request", request);
        Check.present("record", record);
    }
}
