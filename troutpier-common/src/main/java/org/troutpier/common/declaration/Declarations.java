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
 * Everything that is declared, as one versioned whole. Immutable and thread safe. Invariant: names
 * are unique, every owner is declared, and the shares add up to no more than the whole.
 *
 * @param version rises by one with every accepted change
 * @param changeId the change that made this version; settles a lost acknowledgement
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

    /** The declarations of a system that nobody has configured. */
    public static final Declarations EMPTY =
            new Declarations(0, "none", List.of(), List.of(), List.of());

    /** Checks the whole. */
    public Declarations {
        changeId = changeId == null ? "none" : changeId;
        partners = partners == null ? List.of() : List.copyOf(partners);
        upstreams = upstreams == null ? List.of() : List.copyOf(upstreams);
        classes = classes == null ? List.of() : List.copyOf(classes);
        checkPartners(partners);
        checkUpstreams(partners, upstreams);
        checkClasses(partners, classes);
    }

    /**
     * Checks the partners.
     *
     * @param partners the partners
     */
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

    /**
     * Checks the upstreams.
     *
     * @param partners the partners
     * @param upstreams the upstreams
     */
    private static void checkUpstreams(
            List<PartnerDeclaration> partners, List<UpstreamDeclaration> upstreams) {
        Set<UpstreamId> seen = new HashSet<>();
        for (UpstreamDeclaration upstream : upstreams) {
            Check.that("upstreams", seen.add(upstream.id()), "has twice: " + upstream.id());
            Check.that(
                    "upstreams",
                    has(partners, upstream.owner()),
                    upstream.id() + " has an unknown owner: " + upstream.owner());
        }
    }

    /**
     * Checks the classes.
     *
     * @param partners the partners
     * @param classes the classes
     */
    private static void checkClasses(
            List<PartnerDeclaration> partners, List<ClassDeclaration> classes) {
        Set<String> seen = new HashSet<>();
        for (ClassDeclaration declared : classes) {
            String whole = declared.partner() + "/" + declared.name();
            Check.that("classes", seen.add(whole), "has twice: " + whole);
            Check.that(
                    "classes",
                    has(partners, declared.partner()),
                    whole + " has an unknown partner: " + declared.partner());
        }
    }

    /**
     * Returns whether a partner is declared.
     *
     * @param partners the partners
     * @param id the partner sought
     * @return whether it is there
     */
    private static boolean has(List<PartnerDeclaration> partners, PartnerId id) {
        return partners.stream().anyMatch(partner -> partner.id().equals(id));
    }

    /**
     * Finds a partner.
     *
     * @param id the partner sought
     * @return the partner
     */
    public Optional<PartnerDeclaration> partner(PartnerId id) {
        return partners.stream().filter(partner -> partner.id().equals(id)).findFirst();
    }

    /**
     * Finds a class.
     *
     * @param partner the partner it belongs to
     * @param name the class sought
     * @return the class
     */
    public Optional<ClassDeclaration> requestClass(PartnerId partner, ClassName name) {
        return classesOf(partner).filter(declared -> declared.name().equals(name)).findFirst();
    }

    /**
     * Lists a partner's classes.
     *
     * @param partner the partner
     * @return its classes
     */
    @JsonIgnore
    public Stream<ClassDeclaration> classesOf(PartnerId partner) {
        return classes.stream().filter(declared -> declared.partner().equals(partner));
    }

    /**
     * Finds an upstream.
     *
     * @param id the upstream sought
     * @return the upstream
     */
    public Optional<UpstreamDeclaration> upstream(UpstreamId id) {
        return upstreams.stream().filter(upstream -> upstream.id().equals(id)).findFirst();
    }

    /**
     * Returns the same declarations as another version.
     *
     * @param newVersion the version
     * @param newChangeId the change that makes it
     * @return new declarations
     */
    public Declarations withVersion(long newVersion, String newChangeId) {
        return new Declarations(newVersion, newChangeId, partners, upstreams, classes);
    }
}
