package org.troutpier.daemon.quarantine;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertThrows;

import java.nio.charset.StandardCharsets;
import org.testng.annotations.Test;

/** Tests which requests have the same fingerprint. */
public final class RequestFingerprintTest {

    private static RequestFingerprint of(String host, String target, String body) {
        return RequestFingerprint.of(host, target, body.getBytes(StandardCharsets.UTF_8));
    }

    @Test
    public void theSameHostPathAndBodyHaveTheSameFingerprint() {
        assertEquals(of("h", "/a?b", "body"), of("h", "/a?b", "body"));
    }

    @Test
    public void allPartsCountAndAreSeparated() {
        RequestFingerprint one = of("h", "/a", "body");
        assertNotEquals(of("i", "/a", "body"), one);
        assertNotEquals(of("h", "/b", "body"), one);
        assertNotEquals(of("h", "/a?c", "body"), one);
        assertNotEquals(of("h", "/a", "Body"), one);
        assertNotEquals(of("h/", "a", "body"), one);
        assertNotEquals(of("h", "/abo", "dy"), one);
    }

    @Test
    public void theCoarseHashCoversOnlyTheLengthOfTheBody() {
        assertEquals(
                of("h", "/a", "body").coarseHash(), RequestFingerprint.coarseHash("h", "/a", 4));
        assertEquals(of("h", "/a", "Body").coarseHash(), of("h", "/a", "body").coarseHash());
        assertNotEquals(of("h", "/a", "bod").coarseHash(), of("h", "/a", "body").coarseHash());
        assertNotEquals(of("h", "/b", "body").coarseHash(), of("h", "/a", "body").coarseHash());
    }

    @Test
    public void theFingerprintRevealsNoContent() {
        assertFalse(of("h", "/a", "secret").value().contains("secret"));
        assertEquals(of("h", "/a", "secret").toString().length(), 8);
    }

    @Test
    public void invalidHashesAreRejected() {
        assertThrows(IllegalArgumentException.class, () -> new RequestFingerprint("abc"));
        assertThrows(IllegalArgumentException.class, () -> new RequestFingerprint(null));
    }
}
