package org.troutpier.daemon.quarantine;

import com.fasterxml.jackson.annotation.JsonFormat;
import org.troutpier.common.settings.Check;

/**
 * Report of a router about requests during which upstreams crashed. Immutable and thread safe.
 *
 * @param trait what the requests have in common
 * @param record the crashes
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record CrashReport(CrashTrait trait, CrashRecord record) {

    /** Validates the components. */
    public CrashReport {
        Check.present("trait", trait);
        Check.present("record", record);
    }
}
