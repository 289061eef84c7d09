package org.troutpier.daemon.cluster;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.troutpier.common.id.Incarnation;
import org.troutpier.common.id.InstanceId;
import org.troutpier.common.settings.Address;
import org.troutpier.daemon.instancelist.InstanceList.Instance;
import org.troutpier.daemon.node.Node;
import org.troutpier.daemon.peer.Membership;
import org.troutpier.daemon.peer.Membership.Member;
import org.troutpier.daemon.peer.PeerMesh;
import org.troutpier.daemon.peer.PeerMessage;
import org.troutpier.daemon.route.CurrentConfiguration;

/**
 * Tells the other routers of this one's load and receives theirs; hands a newer configuration to a
 * router that has an older one, so that a router which the store turns away still follows. Confined
 * to the control thread. Invariant: nothing here is needed for a promise; a router that receives
 * nobody serves by what it knows itself.
 */
public final class PeerExchange implements PeerMesh.Hearer {

    /** How long a router is not sent the same version again, milliseconds. */
    private static final long RESEND_MILLIS = 500;

    /** How often connections are opened and old reports dropped, milliseconds. */
    private static final long TICK_MILLIS = 250;

    /** Logs routers gained and lost. */
    private static final Logger LOGGER = LogManager.getLogger(PeerExchange.class);

    /** What every part of this router shares. */
    private final Node mNode;

    /** The version in force. */
    private final CurrentConfiguration mConfiguration;

    /** Reads configurations of others. */
    private final ConfigurationCodec mCodec;

    /** What the others said. */
    private final PeerLoads mLoads;

    /** Takes the key of each request that another router refused. */
    private final Consumer<String> mRefusals;

    /** Who the others are. */
    private final Membership mMembership;

    /** Connections to the others. */
    private final PeerMesh mMesh;

    /** Who is in the table of routers. */
    private final Map<String, Instance> mListed = new HashMap<>();

    /** When each router was last sent a configuration, milliseconds. */
    private final Map<Incarnation, Long> mSentAt = new HashMap<>();

    /** How many routers were heard lately when that was last logged. */
    private int mHeardCount;

    /**
     * Creates an exchange and starts to listen.
     *
     * @param node what every part of this router shares
     * @param address where the others come in
     * @param secret what routers prove to each other that they know
     * @param configuration the version in force
     * @param codec reads configurations of others
     * @param loads takes what the others say
     * @param refusals takes the key of each request that another router refused; thread safe
     */
    public PeerExchange(
            Node node,
            Address address,
            String secret,
            CurrentConfiguration configuration,
            ConfigurationCodec codec,
            PeerLoads loads,
            Consumer<String> refusals) {
        mRefusals = refusals;
        mNode = node;
        mConfiguration = configuration;
        mCodec = codec;
        mLoads = loads;
        Member self = new Member(node.incarnation(), node.hall(), address.toString(), false);
        mMembership = new Membership(self, node.nanos());
        mMesh = new PeerMesh(node, address, mMembership, secret, this);
        node.control().every(this::tick, TICK_MILLIS);
    }

    /**
     * Takes a row of the table of routers.
     *
     * @param instance who it is of; the key
     * @param listed what it says, or null where it was deleted
     */
    public void listed(InstanceId instance, Instance listed) {
        if (listed == null) {
            mListed.remove(instance.value());
        } else {
            mListed.put(instance.value(), listed);
        }
        mMembership.listed(new ArrayList<>(mListed.values()));
        mMesh.connect();
    }

    /**
     * Tells the others.
     *
     * @param report what to tell
     */
    public void tell(LoadReport report) {
        mMesh.broadcast(new PeerMessage.Load(report));
    }

    /**
     * Tells the others that a request was refused.
     *
     * @param key the part of its prompt that is its own
     */
    public void refused(String key) {
        mMesh.broadcast(new PeerMessage.Refused(key));
    }

    /** {@inheritDoc} */
    @Override
    public void heard(Member from, PeerMessage message) {
        mMembership.heard(from);
        if (message instanceof PeerMessage.Load load) {
            mLoads.heard(from.incarnation(), load.report(), millis());
            if (load.report().configuration() < mConfiguration.version()) {
                sendConfiguration(from.incarnation());
            }
        } else if (message instanceof PeerMessage.Configuration offered) {
            take(from, offered);
        } else if (message instanceof PeerMessage.Refused refused) {
            mRefusals.accept(refused.key());
        }
    }

    /**
     * Takes a configuration of another router.
     *
     * @param from whose it is
     * @param offered the configuration
     */
    private void take(Member from, PeerMessage.Configuration offered) {
        if (offered.version() <= mConfiguration.version()) {
            return;
        }
        try {
            mConfiguration.offer(mCodec.decode(offered.encoded()), from.incarnation().value());
        } catch (RuntimeException exception) {
            LOGGER.error("configuration not readable from={}", from.incarnation(), exception);
        }
    }

    /**
     * Sends the version in force.
     *
     * @param to who has an older one
     */
    private void sendConfiguration(Incarnation to) {
        long now = millis();
        Long before = mSentAt.get(to);
        if (before != null && now - before < RESEND_MILLIS) {
            return;
        }
        mConfiguration
                .current()
                .ifPresent(
                        current -> {
                            mSentAt.put(to, now);
                            mMesh.send(
                                    to,
                                    new PeerMessage.Configuration(
                                            current.version(), current.encoded()));
                        });
    }

    /** Sends the version in force to all, right after it was adopted. */
    public void configurationAdopted() {
        List<Member> live = mMembership.live();
        live.forEach(member -> sendConfiguration(member.incarnation()));
    }

    /** Opens connections and drops old reports. */
    private void tick() {
        mMesh.connect();
        mLoads.sum(millis());
        if (mLoads.routers() != mHeardCount) {
            LOGGER.info("routers heard before={} now={}", mHeardCount, mLoads.routers());
            mHeardCount = mLoads.routers();
        }
    }

    /**
     * Returns the monotonic clock.
     *
     * @return milliseconds
     */
    private long millis() {
        return TimeUnit.NANOSECONDS.toMillis(mNode.nanos().getAsLong());
    }
}
