package org.troutpier.common.declaration;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.Locale;
import java.util.Optional;
import org.testng.annotations.Test;

/** Tests parsing and hashing of tokens. */
public final class TokensTest {

    @Test
    public void aTokenIsCarriedByABearerHeaderOnly() {
        assertEquals(Tokens.parseBearer("Bearer abc"), Optional.of("abc"));
        assertEquals(Tokens.parseBearer("Basic abc"), Optional.empty());
        assertEquals(Tokens.parseBearer(null), Optional.empty());
    }

    @Test
    public void aHashLooksLikeOne() {
        assertTrue(Tokens.isHash(Tokens.hash("abc")));
        assertFalse(Tokens.isHash("abc"));
        assertFalse(Tokens.isHash(Tokens.hash("abc").toUpperCase(Locale.ROOT)));
    }
}
