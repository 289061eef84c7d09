package org.troutpier.daemon.request;

import java.util.Collection;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.troutpier.common.id.PartnerId;
import org.troutpier.common.id.RequestId;

/**
 * The requests that this router carries. Thread safe. Invariant: a partner never has more in it
 * than its limit allowed when each came in.
 */
public final class ExchangeRegistry {

    /** Parts a request's id from the number of the attempt. */
    public static final char ATTEMPT_SEPARATOR = '.';

    /** The requests by id. */
    private final Map<String, RequestExchange> mExchanges = new ConcurrentHashMap<>();

    /** How many requests each partner has. */
    private final Map<PartnerId, AtomicInteger> mCounts = new ConcurrentHashMap<>();

    /**
     * Adds a request unless its partner has too many.
     *
     * @param exchange the request
     * @param limit how many the partner may have
     * @return whether it was added
     */
    boolean add(RequestExchange exchange, int limit) {
        AtomicInteger count = count(exchange.requestClass().partner());
        if (count.incrementAndGet() > limit) {
            count.decrementAndGet();
            return false;
        }
        mExchanges.put(exchange.id().value(), exchange);
        return true;
    }

    /**
     * Takes a request out.
     *
     * @param exchange the request
     */
    void remove(RequestExchange exchange) {
        if (mExchanges.remove(exchange.id().value(), exchange)) {
            count(exchange.requestClass().partner()).decrementAndGet();
        }
    }

    /**
     * Returns whether an attempt belongs to a request that is carried here.
     *
     * @param attempt the attempt
     * @return whether its request is here
     */
    public boolean containsAttempt(String attempt) {
        int separator = attempt.indexOf(ATTEMPT_SEPARATOR);
        return mExchanges.containsKey(separator < 0 ? attempt : attempt.substring(0, separator));
    }

    /**
     * Finds a request.
     *
     * @param id the request
     * @return the request, or null
     */
    public RequestExchange get(RequestId id) {
        return mExchanges.get(id.value());
    }

    /**
     * Lists the requests.
     *
     * @return the requests, as they come and go
     */
    public Collection<RequestExchange> all() {
        return mExchanges.values();
    }

    /**
     * Returns a partner's counter.
     *
     * @param partner the partner
     * @return the counter
     */
    private AtomicInteger count(PartnerId partner) {
        return mCounts.computeIfAbsent(partner, id -> new AtomicInteger());
    }
}
