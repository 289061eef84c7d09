package org.troutpier.standins.load;

import java.util.List;
import org.troutpier.common.settings.Check;

/**
 * A mix of request streams. Immutable and thread safe.
 *
 * @param streams the streams
 */
public record LoadMix(List<LoadStream> streams) {

    /** Validates the fields. */
    public LoadMix {
        streams = List.copyOf(Check.present("streams", streams));
        Check.that("streams", !streams.isEmpty(), "must not be empty");
    }
}
