package org.troutpier.daemon.quarantine;

/**
 * Why a request is not run. Immutable and thread safe.
 *
 * @param trait the trait under which upstreams crashed
 * @param crashes how many of them crashed
 * @param provisional whether nothing proves yet that the trait crashes them, since most requests of
 *     the service have it; requests with it may be run again soon
 */
public record Withholding(CrashTrait trait, int crashes, boolean provisional) {

    /** Returns the reason in one line, for callers and logs. */
    public String detail() {
        return crashes
                + " upstreams crashed under "
                + trait
                + (provisional ? ", which most requests have" : "");
    }
}
