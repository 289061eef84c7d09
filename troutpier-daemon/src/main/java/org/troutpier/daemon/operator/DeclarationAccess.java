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
 * Decides which declarations an operator may see and change. Stateless and thread safe. Invariant:
 * a partner's operators never change another partner's declarations, nor their own partner's share.
 */
public final class DeclarationAccess {

    private DeclarationAccess() {}

    /**
     * Returns the part of the declarations that an operator may see.
     *
     * @param whole the declarations in force
     * @param rights the rights of the operator
     * @return the visible part
     */
    public static Declarations visible(Declarations whole, Rights rights) {
        if (rights.isAdministrator()) {
            return whole;
        }
        return new Declarations(
                whole.version(),
                whole.changeId(),
                filter(whole.partners(), partner -> rights.covers(partner.id())),
                filter(whole.upstreams(), upstream -> rights.covers(upstream.owner())),
                filter(whole.classes(), declared -> rights.covers(declared.partner())));
    }

    /**
     * Returns declarations in which an operator's part is replaced.
     *
     * @param whole the latest declarations
     * @param part the new part
     * @param rights the rights of the operator
     * @return the new declarations; fails with {@link ResultCode#WRONG_PARTNER}
     */
    public static Declarations withPart(Declarations whole, DeclarationPart part, Rights rights) {
        if (rights.isAdministrator()) {
            return withAdministratorPart(whole, part);
        }
        part.partners().forEach(partner -> requireSameShare(rights, partner.id(), whole, partner));
        part.upstreams()
                .forEach(upstream -> requireCovered(rights, upstream.owner(), upstream.id()));
        part.classes()
                .forEach(declared -> requireCovered(rights, declared.partner(), declared.name()));
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
                concatenate(
                        filter(whole.upstreams(), upstream -> !rights.covers(upstream.owner())),
                        part.upstreams()),
                concatenate(
                        filter(whole.classes(), declared -> !rights.covers(declared.partner())),
                        part.classes()));
    }

    /**
     * Returns declarations in which the administrator's partners are replaced. Upstreams and
     * classes of partners that are still declared are kept; those in the part are added or replace
     * those of the same name.
     *
     * @param whole the latest declarations
     * @param part the administrator's part
     * @return the new declarations
     */
    private static Declarations withAdministratorPart(Declarations whole, DeclarationPart part) {
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
                concatenate(
                        filter(
                                whole.upstreams(),
                                one ->
                                        declared.contains(one.owner())
                                                && !upstreams.contains(one.id())),
                        part.upstreams()),
                concatenate(
                        filter(
                                whole.classes(),
                                one ->
                                        declared.contains(one.partner())
                                                && !classes.contains(
                                                        one.partner() + "/" + one.name())),
                        part.classes()));
    }

    /**
     * Returns declarations in which one upstream is replaced.
     *
     * @param whole the latest declarations
     * @param changed the new upstream
     * @param rights the rights of the operator
     * @return the new declarations; fails with {@link ResultCode#WRONG_PARTNER}
     */
    public static Declarations withUpstream(
            Declarations whole, UpstreamDeclaration changed, Rights rights) {
        requireCovered(rights, changed.owner(), changed.id());
        List<UpstreamDeclaration> upstreams = new ArrayList<>();
        for (UpstreamDeclaration upstream : whole.upstreams()) {
            upstreams.add(upstream.id().equals(changed.id()) ? changed : upstream);
        }
        return new Declarations(
                whole.version(), whole.changeId(), whole.partners(), upstreams, whole.classes());
    }

    /**
     * Returns declarations in which one class is replaced.
     *
     * @param whole the latest declarations
     * @param changed the new class
     * @param rights the rights of the operator
     * @return the new declarations; fails with {@link ResultCode#WRONG_PARTNER}
     */
    public static Declarations withClass(
            Declarations whole, ClassDeclaration changed, Rights rights) {
        requireCovered(rights, changed.partner(), changed.name());
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
     * Checks that the operator's rights cover an owner.
     *
     * @param rights the rights of the operator
     * @param owner the owner
     * @param thing what it owns, for the message
     */
    private static void requireCovered(Rights rights, PartnerId owner, Object thing) {
        if (!rights.covers(owner)) {
            throw new TroutpierException(ResultCode.WRONG_PARTNER, thing + " belongs to " + owner);
        }
    }

    /**
     * Checks that a partner in an operator's part is the operator's own and keeps its share.
     *
     * @param rights the rights of the operator
     * @param owner the id of the partner
     * @param whole the latest declarations
     * @param wanted the partner in the operator's part
     */
    private static void requireSameShare(
            Rights rights, PartnerId owner, Declarations whole, PartnerDeclaration wanted) {
        requireCovered(rights, owner, owner);
        Optional<PartnerDeclaration> current = whole.partner(owner);
        if (current.isEmpty() || current.get().share() != wanted.share()) {
            throw new TroutpierException(
                    ResultCode.WRONG_PARTNER, "the share of " + owner + " is not its own to set");
        }
    }

    private static <T> List<T> filter(List<T> all, Predicate<T> predicate) {
        return all.stream().filter(predicate).toList();
    }

    private static <T> List<T> concatenate(List<T> first, List<T> second) {
        List<T> joined = new ArrayList<>(first);
        joined.addAll(second);
        return joined;
    }
}
