package org.troutpier.common.declaration;

import java.util.ArrayList;
import java.util.List;

/**
 * A part of the declarations, as an operator keeps it in files. Immutable and thread safe. Only the
 * part itself is validated here; its consistency with the other parts is validated when it is
 * applied.
 *
 * @param partners the partners
 * @param upstreams the upstreams
 * @param classes the request classes
 */
public record DeclarationPart(
        List<PartnerDeclaration> partners,
        List<UpstreamDeclaration> upstreams,
        List<ClassDeclaration> classes) {

    /** An empty part. */
    public static final DeclarationPart EMPTY =
            new DeclarationPart(List.of(), List.of(), List.of());

    /** Replaces missing lists by empty ones. */
    public DeclarationPart {
        partners = partners == null ? List.of() : List.copyOf(partners);
        upstreams = upstreams == null ? List.of() : List.copyOf(upstreams);
        classes = classes == null ? List.of() : List.copyOf(classes);
    }

    /** Returns the union of this part and another. */
    public DeclarationPart plus(DeclarationPart other) {
        return new DeclarationPart(
                joined(partners, other.partners),
                joined(upstreams, other.upstreams),
                joined(classes, other.classes));
    }

    /**
     * Joins two lists.
     *
     * @param first the first
     * @param second the second
     * @param <T> what is in them
     */
    private static <T> List<T> joined(List<T> first, List<T> second) {
        List<T> joined = new ArrayList<>(first);
        joined.addAll(second);
        return joined;
    }
}
