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
 * The settings of the daemon. Immutable and thread safe. Routes are not set here but declared
 * through the table service.
 *
 * @param instance the name of this instance
 * @param hall the data hall of this instance
 * @param caller the address for callers
 * @param operator the address for operators
 * @param peer the address for other routers
 * @param peerSecret the secret by which routers authenticate each other
 * @param administratorTokenHash the SHA-256 hash of the administrator's token, which may declare
 *     partners; null for none
 * @param platform the platform's services
 * @param callerLimits the limits of the callers' server
 * @param admission how requests are admitted and placed
 * @param threads the number of threads that carry traffic
 * @param drainMillis how long a stop waits for requests in progress, milliseconds
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

    private static final int DEFAULT_THREADS = 2;

    private static final int MAX_THREADS = 64;

    private static final int DEFAULT_DRAIN_MILLIS = 900_000;

    private static final int MAX_DRAIN_MILLIS = 86_400_000;

    private static final ServerLimits DEFAULT_CALLER_LIMITS =
            new ServerLimits(4000, 4 * 1024 * 1024, 16 * 1024, 10_000, 60_000);

    /** Validates the components and sets defaults. */
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
        callerLimits = callerLimits == null ? DEFAULT_CALLER_LIMITS : callerLimits;
        admission = admission == null ? AdmissionSettings.DEFAULT : admission;
        threads = threads == null ? DEFAULT_THREADS : threads;
        Check.range("threads", threads, 1, MAX_THREADS);
        drainMillis = drainMillis == null ? DEFAULT_DRAIN_MILLIS : drainMillis;
        Check.range("drainMillis", drainMillis, 0, MAX_DRAIN_MILLIS);
    }

    /**
     * The platform's services. Immutable and thread safe.
     *
     * @param table the URL of the table service
     * @param objectStore the URL of the object store
     * @param instanceList the URL of the instance list
     * @param timeoutMillis the timeout of one call, milliseconds
     */
    public record PlatformSettings(
            String table, String objectStore, String instanceList, Integer timeoutMillis) {

        private static final int DEFAULT_TIMEOUT_MILLIS = 1000;

        private static final int MAX_TIMEOUT_MILLIS = 60_000;

        /** Validates the components and sets defaults. */
        public PlatformSettings {
            checkUrl("table", table);
            checkUrl("objectStore", objectStore);
            checkUrl("instanceList", instanceList);
            timeoutMillis = timeoutMillis == null ? DEFAULT_TIMEOUT_MILLIS : timeoutMillis;
            Check.range("timeoutMillis", timeoutMillis, 1, MAX_TIMEOUT_MILLIS);
        }

        private static void checkUrl(String field, String url) {
            Check.present(field, url);
            boolean matches = url.matches("http://[0-9.:\\[\\]a-fA-F]+") && !url.endsWith("/");
            Check.that(field, matches && hasPort(url), "must be http://IP:port but is " + url);
        }

        private static boolean hasPort(String url) {
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
        /** Each router relies on the load that engines publish, which lags. */
        @JsonProperty("lagging")
        LAGGING,
        /** The coordinator of the engine grants permits. */
        @JsonProperty("coordinator")
        COORDINATOR,
        /** Nothing is reserved; a baseline for measurements. */
        @JsonProperty("unlimited")
        UNLIMITED
    }

    /** How a pair of a prefill and a decode engine is selected. */
    public enum PairRule {
        /** By the predicted time to the first token. */
        @JsonProperty("predicted")
        PREDICTED,
        /** In turn; a baseline for measurements. */
        @JsonProperty("round-robin")
        ROUND_ROBIN,
        /** By the published load, which lags; a baseline for measurements. */
        @JsonProperty("least-load")
        LEAST_LOAD
    }

    /**
     * How requests are admitted and placed. Immutable and thread safe.
     *
     * @param permits how decode slots are shared among routers
     * @param pair how a pair of a prefill and a decode engine is selected
     * @param shed whether a request that cannot meet its target is refused on arrival
     */
    public record AdmissionSettings(PermitRule permits, PairRule pair, Boolean shed) {

        /** The settings that apply if none are given. */
        public static final AdmissionSettings DEFAULT =
                new AdmissionSettings(PermitRule.COORDINATOR, PairRule.PREDICTED, true);

        /** Sets defaults. */
        public AdmissionSettings {
            permits = permits == null ? PermitRule.COORDINATOR : permits;
            pair = pair == null ? PairRule.PREDICTED : pair;
            shed = shed == null || shed;
        }
    }
}
