package org.troutpier.daemon.operator;

import java.util.Optional;
import org.troutpier.common.declaration.Declarations;
import org.troutpier.common.declaration.PartnerDeclaration;
import org.troutpier.common.declaration.Tokens;
import org.troutpier.common.id.PartnerId;
import org.troutpier.common.result.ResultCode;
import org.troutpier.common.result.TroutpierException;

/**
 * The rights of an operator. Immutable and thread safe.
 *
 * @param partner the partner of the operator; empty for the administrator, who has all rights
 */
public record Rights(Optional<PartnerId> partner) {

    private static final Rights ADMINISTRATOR = new Rights(Optional.empty());

    /**
     * Determines the rights of the operator that sends a token.
     *
     * @param authorization the {@code Authorization} header, or null
     * @param administratorHash the hash of the administrator's token, or null for none
     * @param declarations the declarations in force
     * @return the rights; fails with {@link ResultCode#UNKNOWN_TOKEN}
     */
    public static Rights forAuthorization(
            String authorization, String administratorHash, Declarations declarations) {
        Optional<String> token = Tokens.parseBearer(authorization);
        if (token.isPresent()) {
            String hash = Tokens.hash(token.get());
            if (hash.equals(administratorHash)) {
                return ADMINISTRATOR;
            }
            for (PartnerDeclaration partner : declarations.partners()) {
                if (partner.operatorTokenHashes().contains(hash)) {
                    return new Rights(Optional.of(partner.id()));
                }
            }
        }
        throw new TroutpierException(ResultCode.UNKNOWN_TOKEN, "no operator has this token");
    }

    /** Returns whether the operator is the administrator. */
    public boolean isAdministrator() {
        return partner.isEmpty();
    }

    /** Returns whether what a partner owns may be seen and changed. */
    public boolean covers(PartnerId owner) {
        return partner.isEmpty() || partner.get().equals(owner);
    }

    /** {@inheritDoc} */
    @Override
    public String toString() {
        return partner.map(PartnerId::value).orElse("administrator");
    }
}
