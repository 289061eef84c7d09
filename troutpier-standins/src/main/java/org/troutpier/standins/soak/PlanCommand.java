package org.troutpier.standins.soak;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Prints a plan of faults, one a line. Confined to the command line's thread. */
@Command(
        name = "plan",
        mixinStandardHelpOptions = true,
        description = "Prints the seeded plan of faults of a soak run.")
public final class PlanCommand implements Callable<Integer> {

    /** Fixes the plan. */
    @Option(names = "--seed", required = true)
    private long mSeed;

    /** How long faults come. */
    @Option(names = "--seconds", required = true)
    private int mSeconds;

    /** How many routers there are. */
    @Option(names = "--routers", required = true)
    private int mRouters;

    /** Created by the command line. */
    private PlanCommand() {}

    /** {@inheritDoc} */
    @Override
    public Integer call() {
        FaultPlan.of(mSeed, mSeconds, mRouters).steps().forEach(System.out::println);
        return 0;
    }
}
