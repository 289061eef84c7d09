package org.troutpier.daemon.operator;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.troutpier.common.declaration.ClassDeclaration;
import org.troutpier.common.declaration.DeclarationPart;
import org.troutpier.common.declaration.Declarations;
import org.troutpier.common.declaration.PartnerDeclaration;
import org.troutpier.common.declaration.UpstreamDeclaration;
import org.troutpier.common.id.PartnerId;
import org.troutpier.common.id.UpstreamId;
import org.troutpier.common.result.ResultCode;
import org.troutpier.common.result.TroutpierException;

/**
 * What an operator may see and change. Pure decision, stateless and thread safe. Invariant: a
 * partner's operators never change another partner's declarations, nor their own share.
 */
public final class DeclarationAccess {

    /** Not to be instantiated. */
    private DeclarationAccess() {}

    /**
     * Returns what an operator may see.
     *
     * @param whole the declarations in force
     * @param rights whose operator asks
     * @return the operator's part
     */
    public static Declarations visible(Declarations whole, Rights rights) {
        if (rights.isAdministrator()) {
            return whole;
        }
        return new Declarations(
                whole.version(),
                whole.changeId(),
                only(whole.partners(), partner -> rights.covers(partner.id())),
                only(whole.upstreams(), upstream -> rights.covers(upstream.owner())),
                only(whole.classes(), declared -> rights.covers(declared.partner())));
    }

    /**
     * Puts an operator's part in place of what stood there.
     *
     * @param whole the latest declarations
     * @param part the part as the operator wants it
     * @param rights whose operator asks
     * @return the whole as it would be
     */
    public static Declarations withPart(Declarations whole, DeclarationPart part, Rights rights) {
        if (rights.isAdministrator()) {
            return replacedByAdministrator(whole, part);
        }
        part.partners().forEach(partner -> requireOwn(rights, partner.id(), whole, partner));
        part.upstreams().forEach(upstream -> require(rights, upstream.owner(), upstream.id()));
        part.classes().forEach(declared -> require(rights, declared.partner(), declared.name()));
        List<PartnerDeclaration> partners = new ArrayList<>();
        for (PartnerDeclaration partner : whole.partners()) {
            partners.add(
                    part.partners().stream()
                            .filter(own -> own.id().equals(partner.id()))
                            .findFirst()
                            .orElse(partner));
        }
        return new Declarations(
                whole.version(),
                whole.changeId(),
                partners,
                joined(
                        only(whole.upstreams(), upstream -> !rights.covers(upstream.owner())),
                        part.upstreams()),
                joined(
                        only(whole.classes(), declared -> !rights.covers(declared.partner())),
                        part.classes()));
    }

    /**
     * Puts the administrator's partners in place. What a partner has declared stays while the
     * partner is declared; upstreams and classes in the part are added to it.
     *
     * @param whole the latest declarations
     * @param part the part as the administrator wants it
     * @return the whole as it would be
     */
    private static Declarations replacedByAdministrator(Declarations whole, DeclarationPart part) {
        Set<PartnerId> declared = new HashSet<>();
        part.partners().forEach(partner -> declared.add(partner.id()));
        Set<UpstreamId> upstreams = new HashSet<>();
        part.upstreams().forEach(upstream -> upstreams.add(upstream.id()));
        Set<String> classes = new HashSet<>();
        part.classes().forEach(one -> classes.add(one.partner() + "/" + one.name()));
        return new Declarations(
                whole.version(),
                whole.changeId(),
                part.partners(),
                joined(
                        only(
                                whole.upstreams(),
                                one ->
                                        declared.contains(one.owner())
                                                && !upstreams.contains(one.id())),
                        part.upstreams()),
                joined(
                        only(
                                whole.classes(),
                                one ->
                                        declared.contains(one.partner())
                                                && !classes.contains(
                                                        one.partner() + "/" + one.name())),
                        part.classes()));
    }

    /**
     * Puts one upstream in place of what stood there.
     *
     * @param whole the latest declarations
     * @param changed the upstream as it should be
     * @param rights whose operator asks
     * @return the whole as it would be
     */
    public static Declarations withUpstream(
            Declarations whole, UpstreamDeclaration changed, Rights rights) {
        require(rights, changed.owner(), changed.id());
        List<UpstreamDeclaration> upstreams = new ArrayList<>();
        for (UpstreamDeclaration upstream : whole.upstreams()) {
            upstreams.add(upstream.id().equals(changed.id()) ? changed : upstream);
        }
        return new Declarations(
                whole.version(), whole.changeId(), whole.partners(), upstreams, whole.classes());
    }

    /**
     * Puts one class in place of what stood there.
     *
     * @param whole the latest declarations
     * @param changed the class as it should be
     * @param rights whose operator asks
     * @return the whole as it would be
     */
    public static Declarations withClass(
            Declarations whole, ClassDeclaration changed, Rights rights) {
        require(rights, changed.partner(), changed.name());
        List<ClassDeclaration> classes = new ArrayList<>();
        for (ClassDeclaration declared : whole.classes()) {
            boolean same =
                    declared.name().equals(changed.name())
                            && declared.partner().equals(changed.partner());
            classes.add(same ? changed : declared);
        }
        return new Declarations(
                whole.version(), whole.changeId(), whole.partners(), whole.upstreams(), classes);
    }

    /**
     * Checks that a thing is the operator's own.
     *
     * @param rights whose operator asks
     * @param owner whose the thing is
     * @param thing the thing, for the message
     */
    private static void require(Rights rights, PartnerId owner, Object thing) {
        if (!rights.covers(owner)) {
            throw new TroutpierException(ResultCode.WRONG_PARTNER, thing + " belongs to " + owner);
        }
    }

    /**
     * Checks that an operator declares its own partner and leaves its share as it is.
     *
     * @param rights whose operator asks
     * @param owner the partner that is declared
     * @param whole the latest declarations
     * @param wanted the partner as the operator wants it
     */
    private static void requireOwn(
            Rights rights, PartnerId owner, Declarations whole, PartnerDeclaration wanted) {
        require(rights, owner, owner);
        Optional<PartnerDeclaration> now = whole.partner(owner);
        if (now.isEmpty() || now.get().share() != wanted.share()) {
            throw new TroutpierException(
                    ResultCode.WRONG_PARTNER, "the share of " + owner + " is not its own to set");
        }
    }

    /**
     * Keeps some of a list.
     *
     * @param all the list
     * @param kept which to keep
     * @param <T> what is in it
     * @return a new list
     */
    private static <T> List<T> only(List<T> all, Predicate<T> kept) {
        return all.stream().filter(kept).toList();
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
