package org.troutpier.daemon;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;
import org.troutpier.common.result.ResultCode;

public class ResultCodeTableTest {

    @Test
    public void documentedTableMatchesCode() throws IOException {
        List<String> documented =
                Files.readAllLines(Path.of("..", "docs", "RESULT_CODES.md")).stream()
                        .filter(line -> line.startsWith("| TP-"))
                        .toList();
        List<String> coded = new ArrayList<>();
        for (ResultCode code : ResultCode.values()) {
            coded.add(
                    String.format(
                            "| %s | %d | %s | %s | %s |",
                            code.label(),
                            code.httpStatus(),
                            code.family().label(),
                            code.retryAfterSeconds() == 0 ? "-" : code.retryAfterSeconds() + " s",
                            code.meaning()));
        }
        assertEquals(documented, coded);
    }
}
