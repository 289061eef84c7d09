package org.troutpier.daemon.operator;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.expectThrows;

import java.util.List;
import java.util.Optional;
import org.testng.annotations.Test;
import org.troutpier.common.declaration.DeclarationPart;
import org.troutpier.common.declaration.Declarations;
import org.troutpier.common.declaration.PartnerDeclaration;
import org.troutpier.common.declaration.Role;
import org.troutpier.common.declaration.UpstreamDeclaration;
import org.troutpier.common.id.HallId;
import org.troutpier.common.id.PartnerId;
import org.troutpier.common.id.UpstreamId;
import org.troutpier.common.result.ResultCode;
import org.troutpier.common.result.TroutpierException;
import org.troutpier.common.settings.Address;

public class DeclarationAccessTest {

    private static final PartnerId ASSOCIATION = new PartnerId("association");
    private static final PartnerId TRUST = new PartnerId("trust");
    private static final Rights TRUSTS = new Rights(Optional.of(TRUST));

    private static PartnerDeclaration partner(PartnerId id, int share) {
        return new PartnerDeclaration(id, share, List.of(), List.of(), null, null);
    }

    private static UpstreamDeclaration upstream(String id, PartnerId owner) {
        return new UpstreamDeclaration(
                new UpstreamId(id),
                owner,
                Role.DECODE,
                new HallId("suhar"),
                new Address("127.0.0.1", 1),
                "model",
                20,
                null,
                false);
    }

    private static Declarations whole() {
        return new Declarations(
                3,
                "change",
                List.of(partner(ASSOCIATION, 50), partner(TRUST, 50)),
                List.of(upstream("a-1", ASSOCIATION), upstream("t-1", TRUST)),
                List.of());
    }

    private static void assertRefused(DeclarationPart part, ResultCode code) {
        TroutpierException why =
                expectThrows(
                        TroutpierException.class,
                        () -> DeclarationAccess.withPart(whole(), part, TRUSTS));
        assertEquals(why.code(), code);
    }

    @Test
    public void replacesOnlyOwnPart() {
        DeclarationPart part =
                new DeclarationPart(List.of(), List.of(upstream("t-2", TRUST)), List.of());
        Declarations next = DeclarationAccess.withPart(whole(), part, TRUSTS);
        assertEquals(
                next.upstreams().stream().map(one -> one.id().value()).toList(),
                List.of("a-1", "t-2"));
    }

    @Test
    public void refusesUpstreamOfAnotherPartner() {
        assertRefused(
                new DeclarationPart(List.of(), List.of(upstream("x", ASSOCIATION)), List.of()),
                ResultCode.WRONG_PARTNER);
    }

    @Test
    public void refusesChangedShare() {
        assertRefused(
                new DeclarationPart(List.of(partner(TRUST, 90)), List.of(), List.of()),
                ResultCode.WRONG_PARTNER);
    }

    @Test
    public void refusesUpstreamIdOfAnotherPartner() {
        DeclarationPart part =
                new DeclarationPart(List.of(), List.of(upstream("a-1", TRUST)), List.of());
        expectThrows(
                IllegalArgumentException.class,
                () -> DeclarationAccess.withPart(whole(), part, TRUSTS));
    }

    @Test
    public void showsOnlyOwnPart() {
        Declarations visible = DeclarationAccess.visible(whole(), TRUSTS);
        assertEquals(visible.upstreams().size(), 1);
        assertEquals(visible.partners().size(), 1);
    }
}
