package org.troutpier.common.declaration;

import java.util.List;
import org.troutpier.common.id.PartnerId;
import org.troutpier.common.settings.Check;

/**
 * A partner: its callers' and operators' tokens, its share and its limits. Tokens are given as
 * SHA-256 hashes only. Immutable and thread safe.
 *
 * @param id the partner
 * @param share its weight among the partners, in percent
 * @param callerTokenHashes hashes of the tokens that callers hold, hexadecimal
 * @param operatorTokenHashes hashes of the tokens that operators hold, hexadecimal
 * @param queueLimit maximum number of its requests that wait in one router
 * @param inFlightLimit maximum number of its requests in flight in one router
 */
public record PartnerDeclaration(
        PartnerId id,
        int share,
        List<String> callerTokenHashes,
        List<String> operatorTokenHashes,
        Integer queueLimit,
        Integer inFlightLimit) {

    /** Upper bound of the sum of all shares, percent. */
    public static final int TOTAL_SHARE = 100;

    /** Upper bound of the queue limit and of the in-flight limit, requests. */
    private static final int MAX_LIMIT = 100_000;

    /** Default queue limit, requests. */
    private static final int DEFAULT_QUEUE = 256;

    /** Default in-flight limit, requests. */
    private static final int DEFAULT_IN_FLIGHT = 2000;

    /** Validates the fields and fills in defaults. */
    public PartnerDeclaration {
        Check.present("id", id);
        Check.range("share", share, 1, TOTAL_SHARE);
        callerTokenHashes = List.copyOf(Check.present("callerTokenHashes", callerTokenHashes));
        operatorTokenHashes =
                List.copyOf(Check.present("operatorTokenHashes", operatorTokenHashes));
        callerTokenHashes.forEach(hash -> checkHash("callerTokenHashes", hash));
        operatorTokenHashes.forEach(hash -> checkHash("operatorTokenHashes", hash));
        queueLimit = queueLimit == null ? DEFAULT_QUEUE : queueLimit;
        inFlightLimit = inFlightLimit == null ? DEFAULT_IN_FLIGHT : inFlightLimit;
        Check.range("queueLimit", queueLimit, 1, MAX_LIMIT);
        Check.range("inFlightLimit", inFlightLimit, 1, MAX_LIMIT);
    }

    private static void checkHash(String field, String hash) {
        Check.that(field, Tokens.isHash(hash), "must hold SHA-256 hashes: " + hash);
    }
}
