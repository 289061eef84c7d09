package org.troutpier.common.http;

import io.netty.channel.Channel;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import javax.net.ssl.SSLEngine;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.asynchttpclient.AsyncHandler;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.AsyncHttpClientConfig;
import org.asynchttpclient.DefaultAsyncHttpClient;
import org.asynchttpclient.DefaultAsyncHttpClientConfig;
import org.asynchttpclient.HttpResponseBodyPart;
import org.asynchttpclient.HttpResponseStatus;
import org.asynchttpclient.ListenableFuture;
import org.asynchttpclient.RequestBuilder;
import org.asynchttpclient.netty.channel.ChannelManager;
import org.asynchttpclient.netty.request.NettyRequest;
import org.asynchttpclient.proxy.ProxyServerSelector;
import org.asynchttpclient.uri.Uri;

/**
 * Sends requests with AsyncHttpClient. Thread safe. The library's retries, redirects, cookies and
 * proxies are disabled: with them a request could be sent more than once or to another host than
 * given.
 */
public final class HttpClient implements AutoCloseable {

    /** Time limit for opening a connection, milliseconds. */
    private static final int CONNECT_TIMEOUT_MILLIS = 1000;

    /** How long an idle connection is kept in the pool, milliseconds. */
    private static final int IDLE_TIMEOUT_MILLIS = 20_000;

    /** Interval between two searches of the pool for idle connections, milliseconds. */
    private static final int IDLE_CHECK_MILLIS = 1000;

    /** The largest body of a response that is collected, bytes, unless its call sets another. */
    private static final int MAX_BODY_BYTES = 16 * 1024 * 1024;

    private static final Logger LOGGER = LogManager.getLogger(HttpClient.class);

    private final AsyncHttpClient mClient;

    /** Creates a client. */
    public HttpClient(EventLoopGroup loops) {
        this(loops, connection -> {});
    }

    /**
     * Creates a client.
     *
     * @param initializer is passed each connection before it is opened, to add handlers in front of
     *     those of HTTP
     */
    public HttpClient(EventLoopGroup loops, Consumer<Channel> initializer) {
        mClient =
                new DefaultAsyncHttpClient(
                        new DefaultAsyncHttpClientConfig.Builder()
                                .setEventLoopGroup(loops)
                                .setUseNativeTransport(false)
                                .setNettyTimer(new EventLoopTimer(loops))
                                .setConnectionPoolCleanerPeriod(
                                        Duration.ofMillis(IDLE_CHECK_MILLIS))
                                .setConnectTimeout(Duration.ofMillis(CONNECT_TIMEOUT_MILLIS))
                                .setPooledConnectionIdleTimeout(
                                        Duration.ofMillis(IDLE_TIMEOUT_MILLIS))
                                .setReadTimeout(Duration.ofMillis(-1))
                                .setMaxRequestRetry(0)
                                .setFollowRedirect(false)
                                .setCookieStore(null)
                                .setEnableAutomaticDecompression(false)
                                .setDisableUrlEncodingForBoundRequests(true)
                                .setProxyServerSelector(ProxyServerSelector.NO_PROXY_SELECTOR)
                                .setTcpNoDelay(true)
                                .setHttpClientCodecMaxInitialLineLength(
                                        ResponseLimiter.MAX_LINE_BYTES)
                                .setHttpClientCodecMaxHeaderSize(ResponseLimiter.MAX_HEADER_BYTES)
                                .setHttpClientCodecMaxChunkSize(ResponseLimiter.MAX_PART_BYTES)
                                .setHttpAdditionalChannelInitializer(
                                        connection -> initialize(connection, initializer))
                                .setSslEngineFactory(HttpClient::rejectTls)
                                .build());
    }

    private static void initialize(Channel connection, Consumer<Channel> initializer) {
        ResponseLimiter.install(connection, ChannelManager.HTTP_CLIENT_CODEC);
        initializer.accept(connection);
    }

    /**
     * Refuses TLS, which is not supported. The library's default factory would load and initialise
     * the JVM's cryptography at each start.
     */
    private static SSLEngine rejectTls(AsyncHttpClientConfig config, String host, int port) {
        throw new IllegalArgumentException("secured calls are not supported: " + host + ":" + port);
    }

    /**
     * Sends a request and collects the complete response, whose body is {@link #MAX_BODY_BYTES} at
     * most.
     *
     * @return the response, or a {@link CallFailedException}; cancelling it aborts the exchange
     */
    public CompletableFuture<HttpReply> call(HttpCall call) {
        return call(call, MAX_BODY_BYTES);
    }

    /**
     * Sends a request and collects the complete response.
     *
     * @param maxBodyBytes the largest body of the response; a larger one fails the call
     * @return the response, or a {@link CallFailedException}; cancelling it aborts the exchange
     */
    public CompletableFuture<HttpReply> call(HttpCall call, int maxBodyBytes) {
        ReplyCollector collector = new ReplyCollector(maxBodyBytes);
        OngoingCall ongoing = send(call, collector);
        collector
                .reply()
                .whenComplete(
                        (reply, failure) -> {
                            if (failure != null) {
                                ongoing.abort();
                            }
                        });
        return collector.reply();
    }

    /**
     * Sends a request and passes the response on as it arrives.
     *
     * @return the exchange, to pause or abort it
     */
    public OngoingCall send(HttpCall call, ReplyListener listener) {
        RequestBuilder request =
                new RequestBuilder(call.method(), true)
                        .setUrl(call.url())
                        .setRequestTimeout(Duration.ofMillis(call.timeoutMillis()));
        call.headers().forEach(request::setHeader);
        if (call.body().length > 0) {
            request.setBody(call.body());
        }
        OngoingCall ongoing =
                new OngoingCall(call.url(), listener, () -> closePooledConnections(call));
        if (call.fresh()) {
            request.setHeader("Connection", "close");
            request.setChannelPoolPartitioning((uri, virtualHost, proxy) -> ongoing);
        }
        ongoing.mFuture = mClient.executeRequest(request.build(), ongoing);
        return ongoing;
    }

    /**
     * Closes the pooled connections to a host after a call to it timed out. Connections may stop
     * responding for good without a reset; each one left in the pool would make one more call time
     * out, while what is read through them (a configuration, upstreams that leave) must be known
     * within a fixed time. A time-out on a connection of its own says nothing about those in the
     * pool.
     */
    private void closePooledConnections(HttpCall call) {
        if (!call.fresh()) {
            String host = Uri.create(call.url()).getBaseUrl();
            mClient.flushChannelPoolPartitions(host::equals);
        }
    }

    /** Returns the number of idle connections in the pool. */
    public long idleConnections() {
        return mClient.getClientStats().getTotalIdleConnectionCount();
    }

    /** Returns the number of connections in use. */
    public long activeConnections() {
        return mClient.getClientStats().getTotalActiveConnectionCount();
    }

    /** Closes all connections. */
    @Override
    public void close() {
        try {
            mClient.close();
        } catch (java.io.IOException exception) {
            throw new IllegalStateException("cannot close the HTTP client", exception);
        }
    }

    /**
     * An exchange in progress; thread safe. Invariant: the listener is notified of its end at most
     * once.
     */
    public static final class OngoingCall implements AsyncHandler<Void> {

        private final String mUrl;

        private final ReplyListener mListener;

        /** Runs when the exchange times out. */
        private final Runnable mOnTimeout;

        /** The library's handle; null until the request was passed to the library. */
        private volatile ListenableFuture<Void> mFuture;

        /** The connection, once there is one. */
        private volatile Channel mChannel;

        /** The status, until the headers arrive. */
        private int mStatus;

        /** Whether the head was passed on. */
        private boolean mHeadPassed;

        /** Whether any byte of the request may have been sent. */
        private volatile boolean mSent;

        /** When the connection began to be opened, nanoseconds; 0 if it was kept. */
        private long mConnectStart;

        /** How long the connection took to open, nanoseconds; 0 if it was kept. */
        private volatile long mConnectNanos;

        /** Whether the exchange has ended or was aborted. */
        private volatile boolean mEnded;

        /** Creates an exchange. */
        OngoingCall(String url, ReplyListener listener, Runnable onTimeout) {
            mUrl = url;
            mListener = listener;
            mOnTimeout = onTimeout;
        }

        /** Stops reading, which applies back-pressure to the sender. */
        public void pause() {
            setAutoRead(false);
        }

        /** Resumes reading. */
        public void resume() {
            setAutoRead(true);
        }

        /**
         * Switches reading on or off.
         *
         * @param on whether to read
         */
        private void setAutoRead(boolean on) {
            onChannel(
                    channel -> {
                        if (!mEnded) {
                            channel.config().setAutoRead(on);
                        }
                    });
        }

        /**
         * Aborts the exchange and closes its connection; the listener gets no further events. An
         * exchange that has ended is left alone: its connection may already be used by another.
         */
        public void abort() {
            boolean connected =
                    onChannel(
                            channel -> {
                                if (!mEnded) {
                                    mEnded = true;
                                    mFuture.cancel(true);
                                    channel.close();
                                }
                            });
            if (!connected) {
                mEnded = true;
                ListenableFuture<Void> future = mFuture;
                if (future != null) {
                    future.cancel(true);
                }
            }
        }

        /**
         * Runs an action on the connection's event loop, where the exchange also ends, so that the
         * action never runs on a connection that has been returned to the pool.
         *
         * @return whether there is a connection
         */
        private boolean onChannel(Consumer<Channel> action) {
            Channel channel = mChannel;
            if (channel != null) {
                channel.eventLoop().execute(() -> action.accept(channel));
            }
            return channel != null;
        }

        /**
         * Returns whether any byte of the request may have been sent.
         *
         * @return false only when that is certain
         */
        public boolean mayHaveBeenSent() {
            return mSent;
        }

        /** Returns how long its connection took to open, milliseconds; 0 if it was kept. */
        public long connectMillis() {
            return TimeUnit.NANOSECONDS.toMillis(mConnectNanos);
        }

        /** {@inheritDoc} */
        @Override
        public void onTcpConnectAttempt(InetSocketAddress address) {
            mConnectStart = System.nanoTime();
        }

        /** {@inheritDoc} */
        @Override
        public void onTcpConnectSuccess(InetSocketAddress address, Channel channel) {
            mConnectNanos = System.nanoTime() - mConnectStart;
            mChannel = channel;
        }

        /** {@inheritDoc} */
        @Override
        public void onConnectionPooled(Channel channel) {
            mChannel = channel;
        }

        /** {@inheritDoc} */
        @Override
        public void onRequestSend(NettyRequest request) {
            mSent = true;
        }

        /** {@inheritDoc} */
        @Override
        public State onStatusReceived(HttpResponseStatus status) {
            mStatus = status.getStatusCode();
            return mEnded ? State.ABORT : State.CONTINUE;
        }

        /** {@inheritDoc} */
        @Override
        public State onHeadersReceived(HttpHeaders headers) {
            if (mEnded) {
                return State.ABORT;
            }
            passHead(headers);
            return State.CONTINUE;
        }

        private void passHead(HttpHeaders headers) {
            mHeadPassed = true;
            mListener.onHead(mStatus, headers);
        }

        /** Passes on the head of an answer without headers, which the library does not report. */
        private void requireHead() {
            if (!mHeadPassed) {
                passHead(EmptyHttpHeaders.INSTANCE);
            }
        }

        /** {@inheritDoc} */
        @Override
        public State onBodyPartReceived(HttpResponseBodyPart part) {
            if (mEnded) {
                return State.ABORT;
            }
            requireHead();
            byte[] bytes = part.getBodyPartBytes();
            if (bytes.length > 0) {
                mListener.onPart(bytes);
            }
            return State.CONTINUE;
        }

        /** {@inheritDoc} */
        @Override
        public void onThrowable(Throwable cause) {
            if (!mEnded) {
                mEnded = true;
                if (cause instanceof TimeoutException) {
                    mOnTimeout.run();
                }
                if (cause instanceof MalformedResponseException malformed) {
                    LOGGER.warn(
                            "response rejected, connection closed server={} cause={} line=\"{}\"",
                            Uri.create(mUrl).getBaseUrl(),
                            malformed.detail(),
                            malformed.quote());
                }
                mListener.onFailure(new CallFailedException(mSent, cause));
            }
        }

        /** {@inheritDoc} */
        @Override
        public Void onCompleted() {
            Channel channel = mChannel;
            if (channel != null) {
                channel.config().setAutoRead(true);
            }
            if (!mEnded) {
                requireHead();
                mEnded = true;
                mListener.onEnd();
            }
            return null;
        }
    }
}
