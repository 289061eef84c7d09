package org.troutpier.common.declaration;

import java.util.List;
import org.troutpier.common.id.PartnerId;
import org.troutpier.common.settings.Check;

/**
 * A partner: who may call and operate for it, and how large its share is. Tokens stand here as
 * SHA-256 hashes only. Immutable and thread safe.
 *
 * @param id the partner
 * @param share its weight against the other partners, in hundredths of the whole
 * @param callerTokenHashes hashes of the tokens that callers hold, hexadecimal
 * @param operatorTokenHashes hashes of the tokens that operators hold, hexadecimal
 * @param queueLimit how many of its requests may wait in one router
 * @param inFlightLimit how many of its requests one router carries at most
 */
public record PartnerDeclaration(
        PartnerId id,
        int share,
        List<String> callerTokenHashes,
        List<String> operatorTokenHashes,
        Integer queueLimit,
        Integer inFlightLimit) {

    /** The whole that shares are hundredths of. */
    public static final int TOTAL_SHARE = 100;

    /** The most that either limit may be. */
    private static final int MAX_LIMIT = 100_000;

    /** How many requests wait unless said otherwise. */
    private static final int DEFAULT_QUEUE = 256;

    /** How many requests are carried unless said otherwise. */
    private static final int DEFAULT_IN_FLIGHT = 2000;

    /** Checks the fields and fills the defaults. */
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

    /**
     * Checks that a text is a SHA-256 hash.
     *
     * @param field the field it stands in
     * @param hash the text
     */
    private static void checkHash(String field, String hash) {
        Check.that(field, Tokens.isHash(hash), "must hold SHA-256 hashes: " + hash);
    }
}
