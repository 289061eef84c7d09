package org.troutpier.daemon.serving;

/**
 * What happened to one request, for its line in the log. Confined to the traffic loop. Invariant:
 * bounded in size.
 */
public final class RequestTrace {

    /** The outcome of a request that got an upstream's whole answer. */
    public static final String ANSWERED = "answered";

    /** The longest text kept, characters. */
    private static final int LONGEST = 900;

    /** The request's id. */
    private final String mId;

    /** The route's name, or what stood in its place. */
    private final String mRoute;

    /** The clock. */
    private final TrafficLoop mLoop;

    /** When the request came, milliseconds. */
    private final long mStart;

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
    public void step(String step) {
        if (mSteps.length() < LONGEST) {
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

    /** {@inheritDoc} */
    @Override
    public String toString() {
        return "route=" + mRoute + " millis=" + elapsedMillis() + " steps=[" + mSteps + " ]";
    }
}
