package org.troutpier.daemon.node;

import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.testng.annotations.Test;
import org.troutpier.daemon.settings.DaemonSettings;

public final class DaemonProcessTest {

    @Test
    public void invalidSettingsAreRejected() throws IOException {
        Path file = Files.createTempFile("settings", ".yaml");
        try {
            Files.writeString(file, "instance: one\nunknown: 1\n");
            assertTrue(DaemonProcess.readSettings(file, DaemonSettings.class).isEmpty());
        } finally {
            Files.delete(file);
        }
    }
}
