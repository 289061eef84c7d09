package org.troutpier.standins.soak;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Prints a fault plan, one fault per line. Confined to the command line's thread. */
@Command(
        name = "plan",
        mixinStandardHelpOptions = true,
        description = "Prints the fault plan of a soak run for a seed.")
public final class PlanCommand implements Callable<Integer> {

    @Option(names = "--seed", required = true)
    private long mSeed;

    /** How long faults are injected. */
    @Option(names = "--seconds", required = true)
    private int mSeconds;

    @Option(names = "--routers", required = true)
    private int mRouters;

    /** Instantiated by picocli. */
    private PlanCommand() {}

    /** {@inheritDoc} */
    @Override
    public Integer call() {
        FaultPlan.of(mSeed, mSeconds, mRouters).steps().forEach(System.out::println);
        return 0;
    }
}
