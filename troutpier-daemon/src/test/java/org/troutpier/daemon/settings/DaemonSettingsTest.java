package org.troutpier.daemon.settings;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.troutpier.common.result.TroutpierException;
import org.troutpier.common.settings.CheckedYaml;

public class DaemonSettingsTest {

    private static final String VALID =
            """
            instance: router-1
            hall: lautoka
            caller: {host: 127.0.0.1, port: 1}
            operator: {host: 127.0.0.1, port: 2}
            peer: {host: 127.0.0.1, port: 3}
            peerSecret: a-secret-of-sixteen
            platform:
              table: http://127.0.0.1:4
              objectStore: http://127.0.0.1:5
              instanceList: http://127.0.0.1:6
            """;

    @Test
    public void validSettingsGetDefaults() {
        DaemonSettings settings = CheckedYaml.parse("f.yaml", VALID, DaemonSettings.class);
        assertEquals(settings.instance().value(), "router-1");
        assertEquals(settings.threads().intValue(), 2);
        assertTrue(settings.admission().shed());
    }

    @DataProvider
    public Object[][] wrong() {
        return new Object[][] {
            {"hall: lautoka", "hal: lautoka", "f.yaml:2: field hal: is not a known field"},
            {"hall: lautoka", "", "field hall: is missing"},
            {"port: 2", "port: 70000", "f.yaml:4: field operator.port: must be from 0 to 65535"},
            {"port: 3", "port: three", "f.yaml:5: field peer.port:"},
            {"127.0.0.1, port: 1", "example.org, port: 1", "field caller.host: must be an IP"},
            {"a-secret-of-sixteen", "short", "f.yaml:6: field peerSecret: must have at least"},
            {"http://127.0.0.1:4", "ftp://x", "f.yaml:8: field platform.table: must be http"},
            {"peerSecret: ", "threads: 0\npeerSecret: ", "field threads: must be from 1 to 64"},
            {"hall: lautoka", "hall: [", "f.yaml:"},
            {"hall: lautoka", "hall: nadi\nhall: suva", "f.yaml:3:"}
        };
    }

    @Test(dataProvider = "wrong")
    public void invalidSettingsAreRejectedWithFileLineAndField(
            String part, String instead, String message) {
        TroutpierException why =
                expectThrows(
                        TroutpierException.class,
                        () ->
                                CheckedYaml.parse(
                                        "f.yaml",
                                        VALID.replace(part, instead),
                                        DaemonSettings.class));
        assertTrue(why.getMessage().contains(message), why.getMessage());
    }
}
