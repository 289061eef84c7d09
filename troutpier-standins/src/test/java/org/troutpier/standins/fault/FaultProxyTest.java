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

/** What a proxy does to connections. The target sends back each number that it gets. */
public final class FaultProxyTest {

    private static final int SOON_MILLIS = 150;
    private static final int PATIENCE_MILLIS = 10_000;
    private static final int LONG_MILLIS = 60_000;
    private static final int NUMBERS = 2000;

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
            // The test is over.
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
            // The other side has closed, as each test does in the end.
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
            assertEquals(client.receive(PATIENCE_MILLIS), 7);
        }
    }

    @Test
    public void delayedBytesAreNeverOvertaken() throws Exception {
        try (Client client = new Client()) {
            var sent =
                    mThreads.submit(
                            () -> {
                                for (int number = 0; number < NUMBERS; number++) {
                                    if (number % 100 == 0) {
                                        mProxy.fault(LinkFault.DELAY, 3, 1 + number % 7);
                                    }
                                    client.send(number);
                                }
                                return null;
                            });
            for (int number = 0; number < NUMBERS; number++) {
                assertEquals(client.receive(PATIENCE_MILLIS), number);
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
                assertEquals(client.receive(PATIENCE_MILLIS), 1);
                mProxy.fault(cut, LONG_MILLIS, 0);
                client.send(2);
                assertThrows(SocketTimeoutException.class, () -> client.receive(SOON_MILLIS));
                mProxy.heal();
                assertEquals(client.receive(PATIENCE_MILLIS), 2);
            }
        }
    }

    @Test
    public void aForgottenConnectionIsSilentWhileNewOnesWork() throws IOException {
        try (Client old = new Client()) {
            old.send(1);
            assertEquals(old.receive(PATIENCE_MILLIS), 1);
            mProxy.fault(LinkFault.FORGET, 0, 0);
            old.send(2);
            try (Client next = new Client()) {
                next.send(3);
                assertEquals(next.receive(PATIENCE_MILLIS), 3);
            }
            assertThrows(SocketTimeoutException.class, () -> old.receive(SOON_MILLIS));
        }
    }

    @Test
    public void aResetEndsOpenConnections() throws IOException {
        try (Client client = new Client()) {
            client.send(1);
            assertEquals(client.receive(PATIENCE_MILLIS), 1);
            mProxy.fault(LinkFault.RESET, LONG_MILLIS, 0);
            IOException end = null;
            try {
                client.receive(PATIENCE_MILLIS);
            } catch (IOException exception) {
                end = exception;
            }
            assertTrue(end != null && !(end instanceof SocketTimeoutException), "end " + end);
        }
    }
}
