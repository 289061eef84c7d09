package org.troutpier.common.declaration;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.testng.annotations.Test;
import org.troutpier.common.result.TroutpierException;
import org.troutpier.common.settings.CheckedYaml;

/** Tests validation of declaration files. */
public final class DeclarationPartTest {

    private static final String CLASS =
            "classes:\n"
                    + "  - {name: note, partner: trust, kind: completion, serves: model,"
                    + " repeatable: true, keyed: false, firstTokenMillis: 0, perTokenMillis: 0,"
                    + " deadlineMillis: 1000";

    private static DeclarationPart read(String text) {
        try {
            Path file = Files.createTempFile("declaration", ".yaml");
            try {
                Files.writeString(file, text);
                return CheckedYaml.read(file, DeclarationPart.class);
            } finally {
                Files.delete(file);
            }
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    @Test
    public void whatIsLeftOutHasADefault() {
        assertEquals(read(CLASS + "}\n").classes().size(), 1);
    }

    @Test
    public void anOptionThatWasTakenOutIsRefusedByName() {
        assertThrows(TroutpierException.class, () -> read(CLASS + ", prefill: ahead}\n"));
        try {
            read(CLASS + ", prefill: ahead}\n");
        } catch (TroutpierException exception) {
            assertTrue(exception.getMessage().contains("prefill"), exception.getMessage());
        }
    }
}
