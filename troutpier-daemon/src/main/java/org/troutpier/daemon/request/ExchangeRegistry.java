package org.troutpier.daemon.request;

import java.util.Collection;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.troutpier.common.id.PartnerId;
import org.troutpier.common.id.RequestId;

/**
 * The requests in progress on this router. Thread safe. Invariant: a request is only added while
 * its partner has fewer requests than the limit at that time.
 */
public final class ExchangeRegistry {

    /** Separates the id of a request from the number of the attempt. */
    public static final char ATTEMPT_SEPARATOR = '.';

    /** Requests by id. */
    private final Map<String, RequestExchange> mExchanges = new ConcurrentHashMap<>();

    /** Number of requests by partner. */
    private final Map<PartnerId, AtomicInteger> mCounts = new ConcurrentHashMap<>();

    /**
     * Adds a request, unless its partner has reached the limit.
     *
     * @param exchange the request
     * @param limit maximum number of requests of the partner
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

    /** Removes a request. */
    void remove(RequestExchange exchange) {
        if (mExchanges.remove(exchange.id().value(), exchange)) {
            count(exchange.requestClass().partner()).decrementAndGet();
        }
    }

    /**
     * Returns whether the request of an attempt is in progress on this router.
     *
     * @param attempt id of the attempt
     */
    public boolean containsAttempt(String attempt) {
        int separator = attempt.indexOf(ATTEMPT_SEPARATOR);
        return mExchanges.containsKey(separator < 0 ? attempt : attempt.substring(0, separator));
    }

    /** Returns the request with the given id, or null. */
    public RequestExchange get(RequestId id) {
        return mExchanges.get(id.value());
    }

    /** Returns a live view of all requests. */
    public Collection<RequestExchange> all() {
        return mExchanges.values();
    }

    private AtomicInteger count(PartnerId partner) {
        return mCounts.computeIfAbsent(partner, id -> new AtomicInteger());
    }
}
