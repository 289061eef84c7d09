package org.troutpier.daemon.route;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.util.List;
import java.util.OptionalInt;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.testng.annotations.Test;
import org.troutpier.common.declaration.KeyHash;
import org.troutpier.common.http.ServerLimits;
import org.troutpier.common.id.PartnerId;
import org.troutpier.common.result.ResultCode;
import org.troutpier.common.result.TroutpierException;
import org.troutpier.common.settings.FieldException;

/** Selection of routes, look-up of organisations by key, and validation of configurations. */
public final class RoutingConfigurationTest {

    private static Route route(String name, String host, String prefix) {
        return new Route(
                name,
                host,
                prefix,
                Route.Kind.REPEATABLE,
                1000,
                100,
                0,
                0,
                1,
                List.of(
                        new Route.WeightedService("a", 9),
                        new Route.WeightedService("b", 1),
                        new Route.WeightedService("c", 0)),
                false);
    }

    private static RoutingConfiguration version(long version, Route... routes) {
        return new RoutingConfiguration(
                version, List.of(routes), List.of(), List.of(), ServerLimits.DEFAULT, new byte[0]);
    }

    @Test
    public void theLongestPrefixOfTheHostMatches() {
        RoutingConfiguration configuration =
                version(
                        1,
                        route("all", "h.example", "/"),
                        route("long", "h.example", "/a/b/"),
                        route("short", "h.example", "/a/"),
                        route("other", "o.example", "/a/b/c/"));
        assertEquals(configuration.findRoute("h.example", "/a/b/c/d").get().name(), "long");
        assertEquals(configuration.findRoute("H.Example:80", "/a/x").get().name(), "short");
        assertEquals(configuration.findRoute("h.example", "/a").get().name(), "all");
        assertTrue(configuration.findRoute("none.example", "/a/").isEmpty());
    }

    @Test
    public void aSplitFollowsItsWeights() {
        Route route = route("r", "h", "/");
        assertEquals(route.selectService(0), "a");
        assertEquals(route.selectService(0.89), "a");
        assertEquals(route.selectService(0.91), "b");
        assertEquals(route.selectService(0.9999), "b");
    }

    @Test
    public void aPrefixWithoutSlashesIsRefused() {
        assertThrows(FieldException.class, () -> route("r", "h", "/a"));
    }

    private static Organisation organisation(String name, String... keys) {
        Set<KeyHash> hashes = Stream.of(keys).map(KeyHash::of).collect(Collectors.toSet());
        return new Organisation(new PartnerId(name), hashes, OptionalInt.empty(), UsageLimit.NONE);
    }

    private static RoutingConfiguration of(Organisation... organisations) {
        return new RoutingConfiguration(
                1, List.of(), List.of(), List.of(organisations), ServerLimits.DEFAULT, new byte[0]);
    }

    @Test
    public void aKeyNamesItsOrganisationAndNoOther() {
        RoutingConfiguration configuration =
                of(organisation("one", "a", "b"), organisation("two", "c"), organisation("none"));
        assertEquals(configuration.findOrganisation(KeyHash.of("b")).get().id().value(), "one");
        assertEquals(configuration.findOrganisation(KeyHash.of("c")).get().id().value(), "two");
        assertTrue(configuration.findOrganisation(KeyHash.of("d")).isEmpty());
        assertTrue(configuration.requiresKeys());
        assertFalse(of().requiresKeys());
    }

    @Test
    public void aVersionInWhichTwoOrganisationsHaveOneKeyOrOneNameIsRefusedWithACode() {
        TroutpierException key =
                expectThrows(
                        TroutpierException.class,
                        () -> of(organisation("one", "a"), organisation("two", "a")));
        assertEquals(key.code(), ResultCode.INVALID_DECLARATION);
        assertFalse(key.getMessage().contains(KeyHash.of("a").value()), key.getMessage());
        TroutpierException name =
                expectThrows(
                        TroutpierException.class,
                        () -> of(organisation("one", "a"), organisation("one", "b")));
        assertEquals(name.code(), ResultCode.INVALID_DECLARATION);
    }

    @Test
    public void aLimitBelowZeroIsRefused() {
        UsageLimit.Unit unit = UsageLimit.Unit.TOKENS;
        assertThrows(FieldException.class, () -> new UsageLimit(unit, 0, -1, 0));
        assertThrows(FieldException.class, () -> new UsageLimit(unit, 0, 1, -1));
        assertThrows(FieldException.class, () -> new UsageLimit(unit, -1, 1, 1));
    }

    @Test
    public void versionsOnlyIncrease() {
        CurrentConfiguration current = new CurrentConfiguration();
        assertEquals(current.version(), -1);
        assertTrue(current.adoptIfNewer(version(5), "test"));
        assertFalse(current.adoptIfNewer(version(5), "test"));
        assertFalse(current.adoptIfNewer(version(4), "test"));
        assertTrue(current.adoptIfNewer(version(9), "test"));
        assertEquals(current.version(), 9);
    }
}
