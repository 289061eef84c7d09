package org.troutpier.daemon.serving;

import java.util.Map;
import java.util.TreeMap;
import org.apache.logging.log4j.message.Message;
import org.apache.logging.log4j.message.StringMapMessage;
import org.troutpier.common.id.PartnerId;
import org.troutpier.daemon.quarantine.RequestFingerprint;

/**
 * What happened to one request, for its line in the log. Confined to the traffic loop. Invariant:
 * bounded in size.
 */
public final class RequestTrace {

    /** The outcome of a request that got an upstream's whole answer. */
    public static final String ANSWERED = "answered";

    /** The longest text kept, characters. */
    private static final int MAX_STEPS_LENGTH = 900;

    /** The request's id. */
    private final String mId;

    /** The route's name, or what stood in its place. */
    private final String mRoute;

    /** The clock. */
    private final TrafficLoop mLoop;

    /** When the request came, milliseconds. */
    private final long mStart;

    /** Whether it was answered, but not as it should be. */
    private boolean mNotable;

    /** What the request was decided by. */
    private final Map<String, String> mInputs = new TreeMap<>();

    /** The steps so far. */
    private final StringBuilder mSteps = new StringBuilder();

    /**
     * Starts a trace.
     *
     * @param id the request's id
     * @param route the route's name, or what stood in its place
     * @param loop the clock
     */
    public RequestTrace(String id, String route, TrafficLoop loop) {
        mId = id;
        mRoute = route;
        mLoop = loop;
        mStart = loop.millis();
    }

    /**
     * Adds a step with the time since the request came.
     *
     * @param step what happened
     */
    public void addStep(String step) {
        if (mSteps.length() < MAX_STEPS_LENGTH) {
            mSteps.append(' ').append(elapsedMillis()).append("ms:").append(step);
        }
    }

    /**
     * Returns the request's id.
     *
     * @return the id
     */
    public String id() {
        return mId;
    }

    /**
     * Returns the route's name.
     *
     * @return the name, or what stood in its place
     */
    public String route() {
        return mRoute;
    }

    /**
     * Returns how long ago the request came.
     *
     * @return milliseconds
     */
    public long elapsedMillis() {
        return mLoop.millis() - mStart;
    }

    /**
     * Marks the request as one that was not served as it should be, though it was answered: late,
     * or with an upstream's own failure.
     */
    public void markNotable() {
        mNotable = true;
    }

    /**
     * Returns whether a request's end is an ordinary success.
     *
     * @param outcome how it ended
     * @return whether it was answered well and in time
     */
    boolean isOrdinarySuccess(String outcome) {
        return outcome.equals(ANSWERED) && !mNotable;
    }

    /**
     * Notes what the request was decided by.
     *
     * @param name what it is
     * @param value its value, age or version
     */
    public void addInput(String name, long value) {
        mInputs.put(name, Long.toString(value));
    }

    /**
     * Notes in whose name the request is made.
     *
     * @param organisation the organisation
     */
    void addOrganisation(PartnerId organisation) {
        mInputs.put("organisation", organisation.value());
    }

    /**
     * Notes what the request asks for, where it matters whether the same was asked before: each try
     * has an id of its own.
     *
     * @param fingerprint names it
     */
    void addFingerprint(RequestFingerprint fingerprint) {
        mInputs.put("content", fingerprint.shortName());
    }

    /**
     * Returns the request's line for the log.
     *
     * @param outcome how it ended
     * @return a structured message
     */
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

    /**
     * Returns what happened so far.
     *
     * @return the steps, each with the milliseconds since the request came
     */
    String steps() {
        return mSteps.toString().trim();
    }
}
