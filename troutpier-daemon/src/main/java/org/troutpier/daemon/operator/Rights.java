package org.troutpier.daemon.operator;

import java.util.Optional;
import org.troutpier.common.declaration.Declarations;
import org.troutpier.common.declaration.PartnerDeclaration;
import org.troutpier.common.declaration.Tokens;
import org.troutpier.common.id.PartnerId;
import org.troutpier.common.result.ResultCode;
import org.troutpier.common.result.TroutpierException;

/**
 * Whose operator asks. Immutable and thread safe.
 *
 * @param partner the partner whose operator asks; empty for the administrator, who may do
 *     everything
 */
public record Rights(Optional<PartnerId> partner) {

    /** The administrator's rights. */
    private static final Rights ADMINISTRATOR = new Rights(Optional.empty());

    /**
     * Finds an operator's rights.
     *
     * @param authorization the header that carries the token, or null
     * @param administratorHash the hash of the administrator's token, or null for none
     * @param declarations the declarations in force
     * @return the rights; fails with {@link ResultCode#UNKNOWN_TOKEN}
     */
    public static Rights of(
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

    /**
     * Returns whether everything may be seen and changed.
     *
     * @return whether the administrator asks
     */
    public boolean everything() {
        return partner.isEmpty();
    }

    /**
     * Returns whether a partner's things may be seen and changed.
     *
     * @param owner the partner
     * @return whether they may
     */
    public boolean covers(PartnerId owner) {
        return partner.isEmpty() || partner.get().equals(owner);
    }

    /** {@inheritDoc} */
    @Override
    public String toString() {
        return partner.map(PartnerId::value).orElse("administrator");
    }
}
