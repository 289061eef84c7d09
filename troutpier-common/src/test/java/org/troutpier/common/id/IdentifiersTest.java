package org.troutpier.common.id;

import static org.testng.Assert.assertEquals;

import java.util.Random;
import java.util.regex.Pattern;
import org.testng.annotations.Test;

/** Tests validation of identifiers against the pattern. */
public final class IdentifiersTest {

    private static final Pattern ALLOWED = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._:-]{0,79}");
    private static final String CHARACTERS = "azAZ09._:-/@[`{ ~\u00e9\n";

    private static boolean taken(String text) {
        try {
            Identifiers.check("test", text);
            return true;
        } catch (IllegalArgumentException exception) {
            return false;
        }
    }

    @Test
    public void whatIsAllowedIsWhatThePatternSays() {
        long seed = System.nanoTime();
        System.out.println("IdentifiersTest seed " + seed);
        Random random = new Random(seed);
        for (int round = 0; round < 20_000; round++) {
            StringBuilder text = new StringBuilder();
            int length = random.nextInt(10) == 0 ? 78 + random.nextInt(5) : random.nextInt(4);
            boolean good = random.nextBoolean();
            for (int index = 0; index < length; index++) {
                int most = good ? 10 : CHARACTERS.length();
                text.append(CHARACTERS.charAt(random.nextInt(most)));
            }
            assertEquals(taken(text.toString()), ALLOWED.matcher(text).matches(), text.toString());
        }
        assertEquals(taken(null), false);
    }
}
