package org.troutpier.cli;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;

/**
 * One run of the tool.
 *
 * @param shown the output
 * @param exit the exit code
 */
record CliRun(String shown, int exit) {

    /** Runs the tool in this process. */
    static CliRun of(String... words) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        PrintStream out = new PrintStream(bytes, true, StandardCharsets.UTF_8);
        PrintStream before = System.out;
        System.setOut(out);
        try {
            int exit =
                    CliMain.commandLine()
                            .setErr(new PrintWriter(out, true))
                            .setOut(new PrintWriter(out, true))
                            .execute(words);
            return new CliRun(bytes.toString(StandardCharsets.UTF_8), exit);
        } finally {
            System.setOut(before);
        }
    }
}
