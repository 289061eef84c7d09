package org.troutpier.common.declaration;

import com.fasterxml.jackson.annotation.JsonIgnore;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.troutpier.common.id.ClassName;
import org.troutpier.common.id.PartnerId;
import org.troutpier.common.id.UpstreamId;
import org.troutpier.common.settings.Check;

/**
 * All declarations, as one versioned set. Immutable and thread safe. Invariant: names are unique,
 * every owner is declared, and the shares add up to at most {@link PartnerDeclaration#TOTAL_SHARE}.
 *
 * @param version version, incremented by every accepted change
 * @param changeId the change that made this version; tells after a lost acknowledgement whether the
 *     change was committed
 * @param partners the partners
 * @param upstreams the upstreams
 * @param classes the request classes
 */
public record Declarations(
        long version,
        String changeId,
        List<PartnerDeclaration> partners,
        List<UpstreamDeclaration> upstreams,
        List<ClassDeclaration> classes) {

    /** The declarations of a system that has not been configured. */
    public static final Declarations EMPTY =
            new Declarations(0, "none", List.of(), List.of(), List.of());

    /** Validates the declarations. */
    public Declarations {
        changeId = changeId == null ? "none" : changeId;
        partners = partners == null ? List.of() : List.copyOf(partners);
        upstreams = upstreams == null ? List.of() : List.copyOf(upstreams);
        classes = classes == null ? List.of() : List.copyOf(classes);
        checkPartners(partners);
        checkUpstreams(partners, upstreams);
        checkClasses(partners, classes);
    }

    private static void checkPartners(List<PartnerDeclaration> partners) {
        Set<PartnerId> seen = new HashSet<>();
        int shares = 0;
        for (PartnerDeclaration partner : partners) {
            Check.that("partners", seen.add(partner.id()), "has twice: " + partner.id());
            shares += partner.share();
        }
        Check.that(
                "partners",
                shares <= PartnerDeclaration.TOTAL_SHARE,
                "have shares that add up to " + shares + ", more than the whole");
    }

    private static void checkUpstreams(
            List<PartnerDeclaration> partners, List<UpstreamDeclaration> upstreams) {
        Set<UpstreamId> seen = new HashSet<>();
        for (UpstreamDeclaration upstream : upstreams) {
            Check.that("upstreams", seen.add(upstream.id()), "has twice: " + upstream.id());
            Check.that(
                    "upstreams",
                    isDeclared(partners, upstream.owner()),
                    upstream.id() + " has an unknown owner: " + upstream.owner());
        }
    }

    private static void checkClasses(
            List<PartnerDeclaration> partners, List<ClassDeclaration> classes) {
        Set<String> seen = new HashSet<>();
        for (ClassDeclaration declared : classes) {
            String qualifiedName = declared.partner() + "/" + declared.name();
            Check.that("classes", seen.add(qualifiedName), "has twice: " + qualifiedName);
            Check.that(
                    "classes",
                    isDeclared(partners, declared.partner()),
                    qualifiedName + " has an unknown partner: " + declared.partner());
        }
    }

    /**
     * Returns whether a partner is declared.
     *
     * @return whether it is there
     */
    private static boolean isDeclared(List<PartnerDeclaration> partners, PartnerId id) {
        return partners.stream().anyMatch(partner -> partner.id().equals(id));
    }

    /** Finds a partner. */
    public Optional<PartnerDeclaration> partner(PartnerId id) {
        return partners.stream().filter(partner -> partner.id().equals(id)).findFirst();
    }

    /** Finds a class. */
    public Optional<ClassDeclaration> requestClass(PartnerId partner, ClassName name) {
        return classesOf(partner).filter(declared -> declared.name().equals(name)).findFirst();
    }

    /** Lists a partner's classes. */
    @JsonIgnore
    public Stream<ClassDeclaration> classesOf(PartnerId partner) {
        return classes.stream().filter(declared -> declared.partner().equals(partner));
    }

    /** Finds an upstream. */
    public Optional<UpstreamDeclaration> upstream(UpstreamId id) {
        return upstreams.stream().filter(upstream -> upstream.id().equals(id)).findFirst();
    }

    /** Returns a copy with another version and change. */
    public Declarations withVersion(long newVersion, String newChangeId) {
        return new Declarations(newVersion, newChangeId, partners, upstreams, classes);
    }
}
