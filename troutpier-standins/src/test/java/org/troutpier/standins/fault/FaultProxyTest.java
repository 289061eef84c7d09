package org.troutpier.standins.fault;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import io.netty.channel.nio.NioEventLoopGroup;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.troutpier.common.settings.Address;

/** Tests the faults of {@link FaultProxy} on connections to a target that echoes each number. */
public final class FaultProxyTest {

    private static final int SILENCE_MILLIS = 150;
    private static final int TIMEOUT_MILLIS = 10_000;
    private static final int FAULT_MILLIS = 60_000;
    private static final int NUMBER_COUNT = 2000;

    private final ExecutorService mThreads = Executors.newCachedThreadPool();
    private NioEventLoopGroup mLoops;
    private ServerSocket mTarget;
    private FaultProxy mProxy;

    @BeforeMethod
    void start() throws IOException {
        mLoops = new NioEventLoopGroup(2);
        mTarget = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        mThreads.execute(this::accept);
        Address target = new Address("127.0.0.1", mTarget.getLocalPort());
        mProxy = new FaultProxy(new Address("127.0.0.1", 0), target, mLoops);
    }

    @AfterMethod(alwaysRun = true)
    void stop() throws IOException {
        mProxy.close();
        mTarget.close();
        mLoops.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = mTarget.accept();
                mThreads.execute(() -> echo(socket));
            }
        } catch (IOException closed) {
            // The listener was closed at the end of the test.
            return;
        }
    }

    private static void echo(Socket socket) {
        try (socket) {
            DataInputStream in = new DataInputStream(socket.getInputStream());
            DataOutputStream out = new DataOutputStream(socket.getOutputStream());
            while (true) {
                out.writeInt(in.readInt());
            }
        } catch (IOException ended) {
            // The client closed the connection at the end of the test.
            return;
        }
    }

    /** A connection through the proxy. */
    private final class Client implements AutoCloseable {

        private final Socket mSocket;
        private final DataInputStream mIn;
        private final DataOutputStream mOut;

        Client() throws IOException {
            mSocket = new Socket("127.0.0.1", mProxy.address().port());
            mSocket.setTcpNoDelay(true);
            mIn = new DataInputStream(mSocket.getInputStream());
            mOut = new DataOutputStream(mSocket.getOutputStream());
        }

        void send(int number) throws IOException {
            mOut.writeInt(number);
        }

        int receive(int millis) throws IOException {
            mSocket.setSoTimeout(millis);
            return mIn.readInt();
        }

        @Override
        public void close() throws IOException {
            mSocket.close();
        }
    }

    @Test
    public void bytesPassBothWays() throws IOException {
        try (Client client = new Client()) {
            client.send(7);
            assertEquals(client.receive(TIMEOUT_MILLIS), 7);
        }
    }

    @Test
    public void delayedBytesAreNeverOvertaken() throws Exception {
        try (Client client = new Client()) {
            var sent =
                    mThreads.submit(
                            () -> {
                                for (int number = 0; number < NUMBER_COUNT; number++) {
                                    if (number % 100 == 0) {
                                        mProxy.fault(LinkFault.DELAY, 3, 1 + number % 7);
                                    }
                                    client.send(number);
                                }
                                return null;
                            });
            for (int number = 0; number < NUMBER_COUNT; number++) {
                assertEquals(client.receive(TIMEOUT_MILLIS), number);
            }
            sent.get();
        }
    }

    @Test
    public void aCutHoldsBytesUpUntilItEnds() throws IOException {
        for (LinkFault cut :
                new LinkFault[] {LinkFault.CUT_FORTH, LinkFault.CUT_BACK, LinkFault.DARK}) {
            try (Client client = new Client()) {
                client.send(1);
                assertEquals(client.receive(TIMEOUT_MILLIS), 1);
                mProxy.fault(cut, FAULT_MILLIS, 0).join();
                client.send(2);
                assertThrows(SocketTimeoutException.class, () -> client.receive(SILENCE_MILLIS));
                mProxy.heal();
                assertEquals(client.receive(TIMEOUT_MILLIS), 2);
            }
        }
    }

    @Test
    public void aForgottenConnectionIsSilentWhileNewOnesWork() throws IOException {
        try (Client old = new Client()) {
            old.send(1);
            assertEquals(old.receive(TIMEOUT_MILLIS), 1);
            mProxy.fault(LinkFault.FORGET, 0, 0).join();
            old.send(2);
            try (Client next = new Client()) {
                next.send(3);
                assertEquals(next.receive(TIMEOUT_MILLIS), 3);
            }
            assertThrows(SocketTimeoutException.class, () -> old.receive(SILENCE_MILLIS));
        }
    }

    @Test
    public void aResetEndsOpenConnections() throws IOException {
        try (Client client = new Client()) {
            client.send(1);
            assertEquals(client.receive(TIMEOUT_MILLIS), 1);
            mProxy.fault(LinkFault.RESET, FAULT_MILLIS, 0);
            IOException end = null;
            try {
                client.receive(TIMEOUT_MILLIS);
            } catch (IOException exception) {
                end = exception;
            }
            assertTrue(end != null && !(end instanceof SocketTimeoutException), "end " + end);
        }
    }
}
