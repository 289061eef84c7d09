package org.troutpier.daemon.serving;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.apache.logging.log4j.message.Message;
import org.apache.logging.log4j.message.StringMapMessage;
import org.troutpier.common.id.PartnerId;
import org.troutpier.common.id.RequestId;
import org.troutpier.daemon.directory.UpstreamEntry;
import org.troutpier.daemon.quarantine.CrashTrait;
import org.troutpier.daemon.quarantine.RequestFingerprint;

/**
 * The steps and inputs of one request, for its log line. Confined to the traffic loop. Invariant:
 * bounded in size.
 */
public final class RequestTrace {

    /** The outcome of a request that received an upstream's complete answer. */
    public static final String ANSWERED = "answered";

    /** Length from which on only the last steps are kept, characters. */
    private static final int MAX_STEPS_LENGTH = 900;

    /** Length of the last steps that are kept, characters: why the request ended as it did. */
    private static final int MAX_LAST_STEPS_LENGTH = 300;

    /** Maximum number of parts of a prompt in a line. */
    private static final int MAX_PARTS = 8;

    private final String mId;

    private final String mRoute;

    private final TrafficLoop mLoop;

    /** When the request arrived, milliseconds on the loop's clock. */
    private final long mStart;

    /** Whether the request was not served as it should be, see {@link #markNotable()}. */
    private boolean mNotable;

    /** The inputs of the decisions about the request, such as versions and ages. */
    private final Map<String, String> mInputs = new TreeMap<>();

    private final StringBuilder mSteps = new StringBuilder();

    /** The last steps, once there are too many. */
    private final StringBuilder mLastSteps = new StringBuilder();

    /**
     * Starts a trace.
     *
     * @param route the name of the route, or a substitute where there is none
     */
    public RequestTrace(String id, String route, TrafficLoop loop) {
        mId = id;
        mRoute = route;
        mLoop = loop;
        mStart = loop.millis();
    }

    /** Adds a step with the time since the request arrived. */
    public void addStep(String step) {
        StringBuilder steps = mSteps.length() < MAX_STEPS_LENGTH ? mSteps : mLastSteps;
        steps.append(' ').append(elapsedMillis()).append("ms:").append(step);
        if (mLastSteps.length() > MAX_LAST_STEPS_LENGTH) {
            mLastSteps.replace(0, mLastSteps.length() - MAX_LAST_STEPS_LENGTH, "...");
        }
    }

    /**
     * Adds a call to an upstream as a step, with the upstream's software version if it states one.
     */
    void addCall(String step, UpstreamEntry upstream) {
        String version = upstream.version().isStated() ? "(" + upstream.version() + ")" : "";
        addStep(step + "@" + upstream.id() + version);
    }

    /** Returns the request id. */
    public String id() {
        return mId;
    }

    /**
     * Returns the name of the route.
     *
     * @return the name, or a substitute where there is none
     */
    public String route() {
        return mRoute;
    }

    /**
     * Returns the time since the request arrived.
     *
     * @return milliseconds
     */
    public long elapsedMillis() {
        return mLoop.millis() - mStart;
    }

    /**
     * Marks the request as not served as it should be, even if it is answered: late, with too long
     * a pause between two events, with an upstream's own failure, or refused as quarantined.
     */
    public void markNotable() {
        mNotable = true;
    }

    /** Returns whether the request was answered successfully and in time. */
    boolean isOrdinarySuccess(String outcome) {
        return outcome.equals(ANSWERED) && !mNotable;
    }

    /** Adds how many calls beyond the first may have arrived, if any. */
    void addExtraCalls(int calls) {
        if (calls > 0) {
            addInput("extraCalls", calls);
        }
    }

    /**
     * Adds an input of the decisions about the request.
     *
     * @param value its value, age or version
     */
    public void addInput(String name, long value) {
        mInputs.put(name, Long.toString(value));
    }

    /**
     * Adds the attempt that began the stream which the request resumes, or "unnamed".
     *
     * @param attempt the attempt, if the caller names it
     */
    void addResumedAttempt(Optional<RequestId> attempt) {
        mInputs.put("resumes", attempt.map(RequestId::value).orElse("unnamed"));
    }

    /** Adds the organisation on whose behalf the request is made. */
    void addOrganisation(PartnerId organisation) {
        mInputs.put("organisation", organisation.value());
    }

    /**
     * Adds the request's traits, where it matters whether requests with one of them came before:
     * the request id differs between retries.
     */
    void addTraits(RequestFingerprint content, List<CrashTrait.ForPart> parts) {
        mInputs.put("content", content.shortName());
        if (!parts.isEmpty()) {
            mInputs.put(
                    "parts",
                    parts.stream()
                            .limit(MAX_PARTS)
                            .map(CrashTrait.ForPart::shortId)
                            .collect(Collectors.joining(",")));
        }
    }

    /** Returns the request's log line. */
    Message toLogMessage(String outcome) {
        StringMapMessage message = new StringMapMessage();
        message.put("event", "request");
        message.put("request", mId);
        message.put("outcome", outcome);
        message.put("route", mRoute);
        message.put("millis", Long.toString(elapsedMillis()));
        message.putAll(mInputs);
        message.put("steps", steps());
        return message;
    }

    /** Returns the steps so far, each with the milliseconds since the request arrived. */
    String steps() {
        return (mSteps.toString() + mLastSteps).trim();
    }
}
