package org.troutpier.daemon.route;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.Test;
import org.troutpier.common.http.ServerLimits;
import org.troutpier.common.settings.FieldException;

/** Which route takes a request. */
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
                        new Route.WeightedService("c", 0)));
    }

    private static RoutingConfiguration version(long version, Route... routes) {
        return new RoutingConfiguration(
                version, List.of(routes), List.of(), ServerLimits.DEFAULT, new byte[0]);
    }

    @Test
    public void theLongestPrefixOfTheHostTakesTheRequest() {
        RoutingConfiguration configuration =
                version(
                        1,
                        route("all", "h.example", "/"),
                        route("long", "h.example", "/a/b/"),
                        route("short", "h.example", "/a/"),
                        route("other", "o.example", "/a/b/c/"));
        assertEquals(configuration.route("h.example", "/a/b/c/d").get().name(), "long");
        assertEquals(configuration.route("H.Example:80", "/a/x").get().name(), "short");
        assertEquals(configuration.route("h.example", "/a").get().name(), "all");
        assertTrue(configuration.route("none.example", "/a/").isEmpty());
    }

    @Test
    public void aSplitFollowsItsWeights() {
        Route route = route("r", "h", "/");
        assertEquals(route.service(0), "a");
        assertEquals(route.service(0.89), "a");
        assertEquals(route.service(0.91), "b");
        assertEquals(route.service(0.9999), "b");
    }

    @Test
    public void aPrefixWithoutSlashesIsRefused() {
        assertThrows(FieldException.class, () -> route("r", "h", "/a"));
    }

    @Test
    public void versionsOnlyRise() {
        CurrentConfiguration current = new CurrentConfiguration();
        assertEquals(current.version(), -1);
        assertTrue(current.offer(version(5), "test"));
        assertFalse(current.offer(version(5), "test"));
        assertFalse(current.offer(version(4), "test"));
        assertTrue(current.offer(version(9), "test"));
        assertEquals(current.version(), 9);
    }
}
