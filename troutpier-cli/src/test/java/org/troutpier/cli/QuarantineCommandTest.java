package org.troutpier.cli;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.troutpier.common.declaration.Tokens;
import org.troutpier.common.id.UpstreamIncarnation;
import org.troutpier.daemon.quarantine.CrashTrait;
import org.troutpier.daemon.quarantine.Quarantine;
import org.troutpier.daemon.quarantine.QuarantineHandler;
import org.troutpier.daemon.quarantine.QuarantineSettings;
import org.troutpier.daemon.quarantine.RequestFingerprint;

/** Tests for the {@code quarantine} command. */
public final class QuarantineCommandTest {

    private static final QuarantineSettings SETTINGS =
            new QuarantineSettings(2, 60, 3000, Tokens.hash("secret"));
    private static final RequestFingerprint HELD =
            RequestFingerprint.of("host", "/held", new byte[0]);
    private static final RequestFingerprint SUSPECT =
            RequestFingerprint.of("host", "/suspect", new byte[0]);

    private Quarantine mQuarantine;
    private RouterStandin mRouter;

    @BeforeMethod
    void start() {
        mQuarantine = new Quarantine(SETTINGS, () -> 0, new MetricRegistry());
        mQuarantine.recordCrash(List.of(HELD), UpstreamIncarnation.of("engine-1"));
        mQuarantine.recordCrash(List.of(HELD), UpstreamIncarnation.of("engine-2"));
        mQuarantine.recordCrash(List.of(SUSPECT), UpstreamIncarnation.of("engine-2"));
        mRouter = new RouterStandin(new QuarantineHandler(SETTINGS, mQuarantine));
    }

    @AfterMethod(alwaysRun = true)
    void stop() {
        mRouter.close();
    }

    /** Runs the tool and returns the output, with the exit code in the last line. */
    private String run(String token, String... words) {
        List<String> all = new ArrayList<>(List.of("quarantine", "--router"));
        all.addAll(List.of(mRouter.address(), "--token", token));
        all.addAll(List.of(words));
        CliRun run = CliRun.of(all.toArray(String[]::new));
        return run.shown() + "exit " + run.exit();
    }

    @Test
    public void theListNamesEachRequestAndTheUpstreamsThatEndedUnderIt() {
        String shown = run("any");
        assertTrue(
                shown.contains(SUSPECT.shortName() + "       no           0  engine-2\n"), shown);
        assertTrue(shown.contains(HELD.shortName() + "       yes          0  engine-1 engine-2\n"));
        assertTrue(shown.endsWith("exit 0"), shown);
    }

    @Test
    public void aRequestIsClearedByItsShortNameAndTheToken() {
        assertEquals(run("secret", "--clear", HELD.shortName()), "cleared: 1\nexit 0");
        assertFalse(mQuarantine.isQuarantined(HELD));
        assertEquals(run("secret", "--clear", "00000000"), "cleared: 0\nexit 1");
    }

    @Test
    public void aPartIsClearedByItsId() {
        CrashTrait part = CrashTrait.ForPart.of("5c1e07a2");
        mQuarantine.recordCrash(List.of(part), UpstreamIncarnation.of("engine-3"));
        mQuarantine.recordCrash(List.of(part), UpstreamIncarnation.of("engine-4"));
        assertTrue(run("any").contains("part:5c1e07a2  yes"));
        assertEquals(run("secret", "--clear", "part:5c1e07a2"), "cleared: 1\nexit 0");
        assertFalse(mQuarantine.isQuarantined(part));
    }

    @Test
    public void aNameThatIsNoneIsToldAndSentNowhere() {
        String told = run("secret", "--clear", "a name & more");
        assertTrue(told.contains("--clear takes 8 to 32 hexadecimal digits"), told);
        assertTrue(told.endsWith("exit 2"), told);
    }

    @Test
    public void withoutTheTokenNothingIsCleared() {
        String told = run("another", "--clear", HELD.shortName());
        assertTrue(told.contains("TP-102 clearing needs the token"), told);
        assertTrue(told.endsWith("exit 1"), told);
        assertTrue(mQuarantine.isQuarantined(HELD));
    }
}
