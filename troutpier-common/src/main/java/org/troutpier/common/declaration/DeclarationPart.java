package org.troutpier.common.declaration;

import java.util.ArrayList;
import java.util.List;

/**
 * A part of the declarations, as an operator keeps it in files. Immutable and thread safe. It is
 * checked for itself only; whether it fits the rest is checked where it is put in place.
 *
 * @param partners the partners
 * @param upstreams the upstreams
 * @param classes the request classes
 */
public record DeclarationPart(
        List<PartnerDeclaration> partners,
        List<UpstreamDeclaration> upstreams,
        List<ClassDeclaration> classes) {

    /** The part that declares nothing. */
    public static final DeclarationPart EMPTY =
            new DeclarationPart(List.of(), List.of(), List.of());

    /** Fills what is missing. */
    public DeclarationPart {
        partners = partners == null ? List.of() : List.copyOf(partners);
        upstreams = upstreams == null ? List.of() : List.copyOf(upstreams);
        classes = classes == null ? List.of() : List.copyOf(classes);
    }

    /**
     * Returns this part with another added.
     *
     * @param other the other part
     * @return a new part
     */
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
     * @return a new list
     */
    private static <T> List<T> joined(List<T> first, List<T> second) {
        List<T> joined = new ArrayList<>(first);
        joined.addAll(second);
        return joined;
    }
}
