package org.troutpier.common.logging;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.core.LoggerContext;
import org.apache.logging.log4j.message.StringMapMessage;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the log output of a daemon. */
public final class DaemonLoggingTest {

    private final PrintStream mBefore = System.out;
    private ByteArrayOutputStream mOutput;
    private LoggerContext mContext;

    @BeforeMethod
    void start() {
        mOutput = new ByteArrayOutputStream();
        System.setOut(new PrintStream(mOutput, true, StandardCharsets.UTF_8));
        mContext = new LoggerContext("daemon");
        mContext.start(DaemonLogging.configuration());
    }

    @AfterMethod(alwaysRun = true)
    void stop() {
        System.setOut(mBefore);
        mContext.stop();
    }

    /** Stops logging, which flushes the queue, and returns the only line. */
    private JsonNode onlyLine() throws IOException {
        mContext.stop();
        String written = mOutput.toString(StandardCharsets.UTF_8);
        assertTrue(written.endsWith("\n"), written);
        assertEquals(written.lines().count(), 1, written);
        return new ObjectMapper().readTree(written);
    }

    @Test
    public void aLineOfTextSaysWhenHowSeriousAndFromWhere() throws IOException {
        long before = System.currentTimeMillis();
        mContext.getLogger("org.troutpier.Part").warn("store lost table={} \"{}\"\n", "t", "ä");
        JsonNode line = onlyLine();
        assertTrue(line.path("at").asLong() >= before, line.toString());
        assertEquals(line.path("level").asText(), "WARN");
        assertEquals(line.path("source").asText(), "org.troutpier.Part");
        assertEquals(line.path("message").asText(), "store lost table=t \"ä\"\n");
        assertFalse(line.has("error"));
    }

    @Test
    public void namedValuesAreAnObject() throws IOException {
        StringMapMessage message = new StringMapMessage().with("request", "abc").with("n", 3);
        mContext.getLogger("decision").info(message);
        JsonNode values = onlyLine().path("message");
        assertEquals(values.path("request").asText(), "abc");
        assertEquals(values.path("n").asText(), "3");
    }

    @Test
    public void whatWasThrownIsToldWithItsCause() throws IOException {
        Exception cause = new IllegalStateException("the cause");
        mContext.getLogger("part").error("failed", new RuntimeException("the failure", cause));
        String error = onlyLine().path("error").asText();
        assertTrue(error.contains("the failure") && error.contains("the cause"), error);
    }

    @Test
    public void librariesTellErrorsOnly() throws IOException {
        mContext.getLogger("io.netty.util.Part").warn("not written");
        mContext.getLogger("org.asynchttpclient.Part").info("not written");
        mContext.getLogger("org.troutpier.Part").debug("not written");
        mContext.getLogger("io.netty.util.Part").error("written");
        assertEquals(onlyLine().path("message").asText(), "written");
    }

    /** Installs the configuration and has memory collected before the first logger exists. */
    static final class CollectedStart {

        private CollectedStart() {}

        public static void main(String[] arguments) {
            DaemonLogging.install();
            System.gc();
            LogManager.getLogger("org.troutpier.Part").info("started");
            LogManager.shutdown();
        }
    }

    @Test
    public void aCollectionBeforeTheFirstLoggerKeepsTheConfiguration() throws Exception {
        Process process =
                new ProcessBuilder(
                                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                                "-cp",
                                System.getProperty("java.class.path"),
                                CollectedStart.class.getName())
                        .redirectErrorStream(true)
                        .start();
        String written =
                new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertEquals(process.waitFor(), 0, written);
        assertTrue(written.contains("\"message\":\"started\""), written);
    }
}
