package org.troutpier.daemon.route;

import java.util.OptionalLong;
import org.troutpier.common.settings.Check;

/**
 * Usage limit of an organisation across all routers. Immutable and thread safe.
 *
 * @param unit the unit of usage
 * @param uncountedTokens cost of a request that does not state its number of tokens, tokens
 * @param perSecond usage allowed per second, in the unit; 0 for no limit
 * @param burst usage allowed in a window beyond that, in the unit
 */
public record UsageLimit(Unit unit, long uncountedTokens, double perSecond, double burst) {

    /** No limit. */
    public static final UsageLimit NONE = new UsageLimit(Unit.REQUESTS, 0, 0, 0);

    /** Unit of usage. */
    public enum Unit {
        /** Each request costs 1. */
        REQUESTS,
        /** A request costs the tokens of its prompt plus the maximum number of output tokens. */
        TOKENS
    }

    /** Validates the components. */
    public UsageLimit {
        Check.present("unit", unit);
        Check.range("uncountedTokens", uncountedTokens, 0, Integer.MAX_VALUE);
        Check.that("perSecond", perSecond >= 0, "must not be negative but is " + perSecond);
        Check.that("burst", burst >= 0, "must not be negative but is " + burst);
    }

    /** Returns whether usage is limited. */
    public boolean isLimited() {
        return perSecond > 0;
    }

    /**
     * Returns the cost of a request.
     *
     * @param tokens the tokens of its prompt plus the maximum number of output tokens, if the
     *     request states them
     * @return the cost, in the unit
     */
    public double cost(OptionalLong tokens) {
        return unit == Unit.REQUESTS ? 1 : tokens.orElse(uncountedTokens);
    }

    /**
     * Returns the usage that is allowed in a period.
     *
     * @param seconds length of the period
     * @return the usage, in the unit
     */
    public double allowance(double seconds) {
        return perSecond * seconds + burst;
    }
}
