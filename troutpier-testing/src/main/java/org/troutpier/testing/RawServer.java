package org.troutpier.testing;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A server that writes given bytes to whatever it is asked: after the head of a request a start
 * once, then a unit again and again until the client closes the connection. Without a unit it
 * closes the connection after the start. Thread safe.
 */
public final class RawServer implements AutoCloseable {

    /** Size of a write, bytes. */
    private static final int WRITE_BYTES = 16 * 1024;

    private final ServerSocket mListening;

    private volatile Answer mAnswer;

    private final Set<Socket> mConnections = ConcurrentHashMap.newKeySet();

    private final Semaphore mClosed = new Semaphore(0);

    private final AtomicLong mSentBytes = new AtomicLong();

    private final AtomicInteger mAnswers = new AtomicInteger();

    /**
     * What is written to a request.
     *
     * @param start written once
     * @param unit repeated without end unless it is empty; a text of a single character has no
     *     structure
     */
    public record Answer(String start, String unit) {

        /** Creates an answer of two texts with \n as line end. */
        public static Answer ofLines(String start, String unit) {
            return new Answer(start.replace("\n", "\r\n"), unit.replace("\n", "\r\n"));
        }

        /** Creates an answer that ends, of a text with \n as line end. */
        public static Answer ofLines(String text) {
            return ofLines(text, "");
        }

        private byte[] units() {
            int count = Math.max(1, WRITE_BYTES / unit.length());
            return unit.repeat(count).getBytes(StandardCharsets.ISO_8859_1);
        }
    }

    /**
     * Starts a server.
     *
     * @param answer written to each request
     */
    public RawServer(Answer answer) throws IOException {
        setAnswer(answer);
        mListening = new ServerSocket(0, 100, InetAddress.getByName("127.0.0.1"));
        start(this::accept);
    }

    private static void start(Runnable task) {
        Thread thread = new Thread(task, "raw server");
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        while (!mListening.isClosed()) {
            try {
                Socket connection = mListening.accept();
                mConnections.add(connection);
                start(() -> serve(connection));
            } catch (IOException exception) {
                return;
            }
        }
    }

    private void serve(Socket connection) {
        try (connection) {
            readHead(new BufferedInputStream(connection.getInputStream()));
            mAnswers.incrementAndGet();
            OutputStream out = connection.getOutputStream();
            Answer answer = mAnswer;
            out.write(answer.start().getBytes(StandardCharsets.ISO_8859_1));
            if (answer.unit().isEmpty()) {
                connection.shutdownOutput();
                connection.getInputStream().transferTo(OutputStream.nullOutputStream());
                mClosed.release();
                return;
            }
            byte[] units = answer.units();
            while (!mListening.isClosed()) {
                out.write(units);
                mSentBytes.addAndGet(units.length);
            }
        } catch (IOException exception) {
            mClosed.release();
        }
    }

    private static void readHead(InputStream in) throws IOException {
        int lineBytes = -1;
        for (int next = in.read(); lineBytes != 0 || next != '\n'; next = in.read()) {
            if (next < 0) {
                throw new IOException("no request");
            }
            if (next == '\n') {
                lineBytes = 0;
            } else if (next != '\r') {
                lineBytes++;
            }
        }
    }

    /** Sets what is written to the requests that come from now on. */
    public void setAnswer(Answer answer) {
        mAnswer = answer;
    }

    /** Returns the port. */
    public int port() {
        return mListening.getLocalPort();
    }

    /** Returns the bytes of the repeated units, over all connections. */
    public long sentBytes() {
        return mSentBytes.get();
    }

    /** Returns the number of requests to which an answer was begun. */
    public int answers() {
        return mAnswers.get();
    }

    /** Returns whether a client closes a connection within a time. */
    public boolean awaitClosed(long millis) throws InterruptedException {
        return mClosed.tryAcquire(millis, TimeUnit.MILLISECONDS);
    }

    /** {@inheritDoc} */
    @Override
    public void close() throws IOException {
        mListening.close();
        for (Socket connection : mConnections) {
            connection.close();
        }
    }
}
