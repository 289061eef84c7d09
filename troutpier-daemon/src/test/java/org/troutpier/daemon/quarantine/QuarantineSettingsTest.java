package org.troutpier.daemon.quarantine;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;
import org.troutpier.common.declaration.Tokens;
import org.troutpier.common.result.TroutpierException;
import org.troutpier.common.settings.CheckedYaml;

/** Tests the validation of the quarantine's settings. */
public final class QuarantineSettingsTest {

    private static QuarantineSettings parse(String yaml) {
        return CheckedYaml.parse("settings.yaml", yaml, QuarantineSettings.class);
    }

    @Test
    public void withoutATokenNobodyMayClear() {
        QuarantineSettings settings = parse("crashes: 2\nseconds: 5\nknownMillis: 3000\n");
        assertEquals(settings.crashes(), 2);
        assertFalse(settings.mayClear(Tokens.hash("")));
    }

    @Test
    public void onlyTheTokenMayClear() {
        QuarantineSettings settings =
                new QuarantineSettings(3, 60, 3000, Tokens.hash("the operator's"));
        assertTrue(settings.mayClear(Tokens.hash("the operator's")));
        assertFalse(settings.mayClear(Tokens.hash("another's")));
    }

    @Test
    public void invalidValuesAreRejected() {
        for (String yaml :
                new String[] {
                    "crashes: 0\nseconds: 5\nknownMillis: 3000\n",
                    "crashes: 3\nseconds: 0\nknownMillis: 3000\n",
                    "crashes: 3\nseconds: 5\nknownMillis: 1\n",
                    "crashes: 3\nseconds: 5\nknownMillis: 3000\noperatorTokenHash: abc\n",
                    "crashes: 3\nseconds: 5\n"
                }) {
            assertThrows(TroutpierException.class, () -> parse(yaml));
        }
    }
}
