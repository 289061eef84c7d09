package org.troutpier.standins;

import io.netty.channel.nio.NioEventLoopGroup;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import org.troutpier.common.settings.Address;
import org.troutpier.standins.engine.DecodeEngine;
import org.troutpier.standins.engine.DecodeModel;
import org.troutpier.standins.engine.PrefillEngine;
import org.troutpier.standins.engine.PrefillModel;
import org.troutpier.standins.fault.ProxiesCommand;
import org.troutpier.standins.load.LoadCommand;
import org.troutpier.standins.platform.InstanceListStandin;
import org.troutpier.standins.platform.ObjectStandin;
import org.troutpier.standins.platform.TableStandin;
import org.troutpier.standins.service.PlainService;
import org.troutpier.standins.soak.PlanCommand;
import org.troutpier.standins.soak.SoakCommand;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** The command line of the stand-ins: one process is one stand-in. */
@Command(
        name = "standin",
        mixinStandardHelpOptions = true,
        description = "Runs a stand-in for an outside system, or the load tool.",
        subcommands = {
            StandinMain.Prefill.class,
            StandinMain.Decode.class,
            StandinMain.Service.class,
            StandinMain.Table.class,
            StandinMain.Objects.class,
            StandinMain.Instances.class,
            LoadCommand.class,
            PlanCommand.class,
            ProxiesCommand.class,
            SoakCommand.class
        })
public final class StandinMain {

    /** Not to be instantiated but by the command line. */
    private StandinMain() {}

    /**
     * Runs the command line.
     *
     * @param arguments its words
     */
    public static void main(String[] arguments) {
        System.exit(new CommandLine(new StandinMain()).execute(arguments));
    }

    /** Where a stand-in listens and what it is called. Confined to the command line's thread. */
    static final class Place {

        /** The IP number. */
        @Option(names = "--host", defaultValue = "127.0.0.1", description = "IP number")
        private String mHost;

        /** The port. */
        @Option(names = "--port", required = true, description = "port")
        private int mPort;

        /** The name. */
        @Option(names = "--name", defaultValue = "standin", description = "name in events")
        private String mName;

        /**
         * Returns where to listen.
         *
         * @return the address
         */
        Address address() {
            return new Address(mHost, mPort);
        }

        /**
         * Waits until the process is stopped.
         *
         * @return never
         * @throws InterruptedException when the thread is interrupted
         */
        Integer serve() throws InterruptedException {
            System.out.println("listening on " + address());
            new CountDownLatch(1).await();
            return 0;
        }
    }

    /** Runs a prefill engine. */
    @Command(name = "prefill", description = "Runs a prefill engine.")
    static final class Prefill implements Callable<Integer> {

        /** Where it listens. */
        @Mixin private Place mPlace;

        /** How fast it prefills. */
        @Option(names = "--tokens-per-second", defaultValue = "20000")
        private int mTokensPerSecond;

        /** What every prefill costs besides. */
        @Option(names = "--fixed-micros", defaultValue = "3000")
        private int mFixedMicros;

        /** The rate of the outgoing link. */
        @Option(names = "--link-bytes-per-second", defaultValue = "10000000000")
        private long mLinkBytesPerSecond;

        /** How long a result survives. */
        @Option(names = "--kv-life-millis", defaultValue = "800")
        private int mKvLifeMillis;

        /** How many prefills may wait or run. */
        @Option(names = "--queue-limit", defaultValue = "64")
        private int mQueueLimit;

        /** {@inheritDoc} */
        @Override
        public Integer call() throws InterruptedException {
            PrefillModel base = PrefillModel.DEFAULT;
            PrefillModel model =
                    new PrefillModel(
                            mTokensPerSecond,
                            mFixedMicros,
                            base.cacheBlocks(),
                            mKvLifeMillis,
                            mLinkBytesPerSecond,
                            base.kvBytesPerToken(),
                            mQueueLimit,
                            base.eventLagMillis());
            new PrefillEngine(mPlace.mName, mPlace.address(), model, new NioEventLoopGroup(1));
            return mPlace.serve();
        }
    }

    /** Runs a decode engine. */
    @Command(name = "decode", description = "Runs a decode engine.")
    static final class Decode implements Callable<Integer> {

        /** Where it listens. */
        @Mixin private Place mPlace;

        /** How many requests it holds. */
        @Option(names = "--slots", defaultValue = "20")
        private int mSlots;

        /** What a step costs with nothing to run. */
        @Option(names = "--step-micros", defaultValue = "15000")
        private int mStepMicros;

        /** What each running request adds to a step. */
        @Option(names = "--per-request-micros", defaultValue = "750")
        private int mPerRequestMicros;

        /** Whether a closed connection ends its request. */
        @Option(names = "--notices-close")
        private boolean mNoticesClose;

        /** {@inheritDoc} */
        @Override
        public Integer call() throws InterruptedException {
            DecodeModel model =
                    new DecodeModel(
                            mSlots,
                            mStepMicros,
                            mPerRequestMicros,
                            DecodeModel.DEFAULT.loadLagMillis(),
                            mNoticesClose);
            new DecodeEngine(mPlace.mName, mPlace.address(), model, new NioEventLoopGroup(1));
            return mPlace.serve();
        }
    }

    /** Runs a plain service. */
    @Command(name = "service", description = "Runs a plain service's replica.")
    static final class Service implements Callable<Integer> {

        /** Where it listens. */
        @Mixin private Place mPlace;

        /** How long a call takes. */
        @Option(names = "--work-millis", defaultValue = "5")
        private int mWorkMillis;

        /** How many calls run at once. */
        @Option(names = "--slots", defaultValue = "200")
        private int mSlots;

        /** {@inheritDoc} */
        @Override
        public Integer call() throws InterruptedException {
            new PlainService(
                    mPlace.mName, mPlace.address(), mWorkMillis, mSlots, new NioEventLoopGroup(1));
            return mPlace.serve();
        }
    }

    /** Runs a table. */
    @Command(name = "table", description = "Runs a transactional table.")
    static final class Table implements Callable<Integer> {

        /** Where it listens. */
        @Mixin private Place mPlace;

        /** {@inheritDoc} */
        @Override
        public Integer call() throws InterruptedException {
            new TableStandin(mPlace.address(), new NioEventLoopGroup(1));
            return mPlace.serve();
        }
    }

    /** Runs an object store. */
    @Command(name = "objects", description = "Runs an object store.")
    static final class Objects implements Callable<Integer> {

        /** Where it listens. */
        @Mixin private Place mPlace;

        /** {@inheritDoc} */
        @Override
        public Integer call() throws InterruptedException {
            new ObjectStandin(mPlace.address(), new NioEventLoopGroup(1));
            return mPlace.serve();
        }
    }

    /** Runs an instance list. */
    @Command(name = "instances", description = "Runs the list of instances.")
    static final class Instances implements Callable<Integer> {

        /** Where it listens. */
        @Mixin private Place mPlace;

        /** How late the list is. */
        @Option(names = "--lag-millis", defaultValue = "500")
        private int mLagMillis;

        /** {@inheritDoc} */
        @Override
        public Integer call() throws InterruptedException {
            new InstanceListStandin(mPlace.address(), mLagMillis, new NioEventLoopGroup(1));
            return mPlace.serve();
        }
    }
}
