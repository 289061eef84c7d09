package org.troutpier.daemon.settings;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.net.URI;
import org.troutpier.common.declaration.Tokens;
import org.troutpier.common.http.ServerLimits;
import org.troutpier.common.id.HallId;
import org.troutpier.common.id.InstanceId;
import org.troutpier.common.settings.Address;
import org.troutpier.common.settings.Check;
import org.troutpier.common.settings.Secret;

/**
 * The daemon's settings. Immutable and thread safe. What is routed where is never set here but
 * declared through the table service.
 *
 * @param instance the name of this instance
 * @param hall the hall that it stands in
 * @param caller where callers come in
 * @param operator where operators come in
 * @param peer where other routers come in
 * @param peerSecret what routers prove to each other that they know
 * @param administratorTokenHash the SHA-256 hash of the token that may declare partners; null for
 *     none
 * @param platform where the platform's services are
 * @param callerLimits what the callers' port bounds
 * @param admission how requests are admitted and placed
 * @param threads how many threads carry traffic
 * @param drainMillis how long a stop waits for requests in progress
 */
public record DaemonSettings(
        InstanceId instance,
        HallId hall,
        Address caller,
        Address operator,
        Address peer,
        Secret peerSecret,
        String administratorTokenHash,
        PlatformSettings platform,
        ServerLimits callerLimits,
        AdmissionSettings admission,
        Integer threads,
        Integer drainMillis) {

    /** How many threads carry traffic unless said otherwise. */
    private static final int DEFAULT_THREADS = 2;

    /** The most threads that may be set. */
    private static final int MAX_THREADS = 64;

    /** How long a stop waits unless said otherwise, milliseconds. */
    private static final int DEFAULT_DRAIN = 900_000;

    /** The longest a stop may wait, milliseconds. */
    private static final int MAX_DRAIN = 86_400_000;

    /** The callers' limits unless said otherwise. */
    private static final ServerLimits DEFAULT_LIMITS =
            new ServerLimits(4000, 4 * 1024 * 1024, 16 * 1024, 10_000, 60_000);

    /** Checks the fields and fills the defaults. */
    public DaemonSettings {
        Check.present("instance", instance);
        Check.present("hall", hall);
        Check.present("caller", caller);
        Check.present("operator", operator);
        Check.present("peer", peer);
        Check.present("peerSecret", peerSecret).requireMinimumLength("peerSecret");
        Check.that(
                "administratorTokenHash",
                administratorTokenHash == null || Tokens.isHash(administratorTokenHash),
                "must be a SHA-256 hash: " + administratorTokenHash);
        Check.present("platform", platform);
        callerLimits = callerLimits == null ? DEFAULT_LIMITS : callerLimits;
        admission = admission == null ? AdmissionSettings.DEFAULT : admission;
        threads = threads == null ? DEFAULT_THREADS : threads;
        Check.range("threads", threads, 1, MAX_THREADS);
        drainMillis = drainMillis == null ? DEFAULT_DRAIN : drainMillis;
        Check.range("drainMillis", drainMillis, 0, MAX_DRAIN);
    }

    /**
     * Where the platform's services are. Immutable and thread safe.
     *
     * @param table the table service
     * @param objectStore the object store
     * @param instanceList the instance list
     * @param timeoutMillis how long one call may take
     */
    public record PlatformSettings(
            String table, String objectStore, String instanceList, Integer timeoutMillis) {

        /** How long one call may take unless said otherwise, milliseconds. */
        private static final int DEFAULT_TIMEOUT = 1000;

        /** The longest that may be set, milliseconds. */
        private static final int MAX_TIMEOUT = 60_000;

        /** Checks the fields and fills the defaults. */
        public PlatformSettings {
            checkUrl("table", table);
            checkUrl("objectStore", objectStore);
            checkUrl("instanceList", instanceList);
            timeoutMillis = timeoutMillis == null ? DEFAULT_TIMEOUT : timeoutMillis;
            Check.range("timeoutMillis", timeoutMillis, 1, MAX_TIMEOUT);
        }

        /**
         * Checks a URL.
         *
         * @param field the field it stands in
         * @param url the URL
         */
        private static void checkUrl(String field, String url) {
            Check.present(field, url);
            boolean right = url.matches("http://[0-9.:\\[\\]a-fA-F]+") && !url.endsWith("/");
            Check.that(field, right && valid(url), "must be http://IP:port but is " + url);
        }

        /**
         * Returns whether a text is a URL with a port.
         *
         * @param url the text
         * @return whether it is
         */
        private static boolean valid(String url) {
            try {
                return URI.create(url).getPort() > 0;
            } catch (IllegalArgumentException exception) {
                return false;
            }
        }
    }

    /** How decode slots are shared among routers. */
    public enum PermitRule {
        /** Each router has the same fixed part of every engine. */
        @JsonProperty("static")
        STATIC,
        /** Each router goes by the engines' lagging load. */
        @JsonProperty("lagging")
        LAGGING,
        /** The engine's coordinator hands out permits. */
        @JsonProperty("coordinator")
        COORDINATOR,
        /** Nothing is reserved: a baseline for measurements. */
        @JsonProperty("unlimited")
        UNLIMITED
    }

    /** How a prefill and a decode engine are chosen. */
    public enum PairRule {
        /** By the predicted time to the first token. */
        @JsonProperty("predicted")
        PREDICTED,
        /** In turn: a baseline for measurements. */
        @JsonProperty("round-robin")
        ROUND_ROBIN,
        /** By the lagging load: a baseline for measurements. */
        @JsonProperty("least-load")
        LEAST_LOAD
    }

    /**
     * How requests are admitted and placed. Immutable and thread safe.
     *
     * @param permits how decode slots are shared among routers
     * @param pair how a prefill and a decode engine are chosen
     * @param shed whether a request whose target is out of reach is refused on arrival
     */
    public record AdmissionSettings(PermitRule permits, PairRule pair, Boolean shed) {

        /** What the measurements chose. */
        public static final AdmissionSettings DEFAULT =
                new AdmissionSettings(PermitRule.COORDINATOR, PairRule.PREDICTED, true);

        /** Fills the defaults. */
        public AdmissionSettings {
            permits = permits == null ? PermitRule.COORDINATOR : permits;
            pair = pair == null ? PairRule.PREDICTED : pair;
            shed = shed == null || shed;
        }
    }
}
