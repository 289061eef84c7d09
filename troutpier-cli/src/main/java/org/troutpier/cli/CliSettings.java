package org.troutpier.cli;

import java.util.List;
import org.troutpier.common.settings.Address;
import org.troutpier.common.settings.Check;

/**
 * The tool's settings file. Immutable and thread safe.
 *
 * @param routers addresses of the routers' operator ports
 * @param token the operator's token
 */
record CliSettings(List<Address> routers, String token) {

    /** Checks the fields. */
    CliSettings {
        routers = List.copyOf(Check.present("routers", routers));
        Check.that("routers", !routers.isEmpty(), "must not be empty");
        Check.present("token", token);
    }
}
