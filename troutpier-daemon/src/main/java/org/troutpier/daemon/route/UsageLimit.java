package org.troutpier.daemon.route;

import java.util.OptionalLong;
import org.troutpier.common.settings.Check;

/**
 * What an organisation may use, over all routers. Immutable and thread safe.
 *
 * @param unit what use is counted in
 * @param uncountedTokens what a request costs that does not say how many tokens it takes, tokens
 * @param perSecond what may be used a second, in the unit; 0 for no limit
 * @param burst what may be used in a window beyond that, in the unit
 */
public record UsageLimit(Unit unit, long uncountedTokens, double perSecond, double burst) {

    /** No limit. */
    public static final UsageLimit NONE = new UsageLimit(Unit.REQUESTS, 0, 0, 0);

    /** What use is counted in. */
    public enum Unit {
        /** Each request counts as one. */
        REQUESTS,
        /** A request counts as its prompt's tokens and the most that come out. */
        TOKENS
    }

    /** Checks the fields. */
    public UsageLimit {
        Check.present("unit", unit);
        Check.range("uncountedTokens", uncountedTokens, 0, Integer.MAX_VALUE);
        Check.that("perSecond", perSecond >= 0, "must not be negative but is " + perSecond);
        Check.that("burst", burst >= 0, "must not be negative but is " + burst);
    }

    /**
     * Returns whether there is a limit.
     *
     * @return whether use is bounded
     */
    public boolean isLimited() {
        return perSecond > 0;
    }

    /**
     * Returns what a request counts as.
     *
     * @param tokens its prompt's tokens and the most that come out, where it says so
     * @return its cost in the unit
     */
    public double cost(OptionalLong tokens) {
        return unit == Unit.REQUESTS ? 1 : tokens.orElse(uncountedTokens);
    }

    /**
     * Returns what may be used within a time.
     *
     * @param seconds the time
     * @return use in the unit
     */
    public double allowance(double seconds) {
        return perSecond * seconds + burst;
    }
}
