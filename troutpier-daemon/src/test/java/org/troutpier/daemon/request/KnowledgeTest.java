package org.troutpier.daemon.request;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;

import java.util.Random;
import org.testng.Reporter;
import org.testng.annotations.Test;
import org.troutpier.common.result.ResultCode;
import org.troutpier.common.result.ResultCode.Family;
import org.troutpier.daemon.upstream.AttemptEnd;

public class KnowledgeTest {

    @Test
    public void saysNotRunWhileEveryAttemptProvedIt() {
        Knowledge knowledge = new Knowledge();
        knowledge.learn(AttemptEnd.unreached("refused"));
        knowledge.learn(AttemptEnd.refused(false, "full"));
        assertEquals(knowledge.truthful(ResultCode.NO_UPSTREAM), ResultCode.NO_UPSTREAM);
    }

    @Test
    public void saysUnknownOnceAnAttemptWasLost() {
        Knowledge knowledge = new Knowledge();
        knowledge.learn(AttemptEnd.lost("silent"));
        knowledge.learn(AttemptEnd.failed(ResultCode.UPSTREAM_FAILED, "cut"));
        assertEquals(knowledge.truthful(ResultCode.UPSTREAM_FAILED), ResultCode.OUTCOME_UNKNOWN);
        assertEquals(knowledge.truthful(ResultCode.QUEUE_FULL), ResultCode.OUTCOME_UNKNOWN);
    }

    @Test
    public void neverSaysMoreThanIsKnown() {
        long seed = System.nanoTime();
        Reporter.log("seed " + seed, true);
        Random random = new Random(seed);
        ResultCode[] codes = ResultCode.values();
        for (int round = 0; round < 100_000; round++) {
            Knowledge knowledge = new Knowledge();
            boolean ran = false;
            boolean lost = false;
            for (int attempt = random.nextInt(4); attempt > 0; attempt--) {
                switch (random.nextInt(4)) {
                    case 0 -> knowledge.learn(AttemptEnd.unreached("x"));
                    case 1 -> knowledge.learn(AttemptEnd.refused(false, "x"));
                    case 2 -> {
                        knowledge.learn(AttemptEnd.lost("x"));
                        ran = true;
                        lost = true;
                    }
                    default -> {
                        knowledge.learn(AttemptEnd.failed(ResultCode.UPSTREAM_FAILED, "x"));
                        ran = true;
                    }
                }
            }
            Family told = knowledge.truthful(codes[random.nextInt(codes.length)]).family();
            if (ran) {
                assertNotEquals(told, Family.NOT_RUN, "seed " + seed);
            }
            if (lost) {
                assertEquals(told, Family.OUTCOME_UNKNOWN, "seed " + seed);
            }
        }
    }
}
