package org.troutpier.common.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpHeaders;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.CancellationException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import javax.net.ssl.SSLEngine;
import org.asynchttpclient.AsyncHandler;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.AsyncHttpClientConfig;
import org.asynchttpclient.DefaultAsyncHttpClient;
import org.asynchttpclient.DefaultAsyncHttpClientConfig;
import org.asynchttpclient.HttpResponseBodyPart;
import org.asynchttpclient.HttpResponseStatus;
import org.asynchttpclient.ListenableFuture;
import org.asynchttpclient.RequestBuilder;
import org.asynchttpclient.netty.request.NettyRequest;
import org.asynchttpclient.proxy.ProxyServerSelector;
import org.asynchttpclient.uri.Uri;

/**
 * Sends requests with AsyncHttpClient. Thread safe. The library's own retries, redirects, cookies
 * and proxies are off: each would break a promise about what was sent where.
 */
public final class HttpClient implements AutoCloseable {

    /** How long a connection may take to open, milliseconds. */
    private static final int CONNECT_MILLIS = 1000;

    /** How long an unused connection is kept, milliseconds. */
    private static final int IDLE_MILLIS = 20_000;

    /** The library's client. */
    private final AsyncHttpClient mClient;

    /**
     * Creates a client.
     *
     * @param loops carries the traffic
     */
    public HttpClient(EventLoopGroup loops) {
        mClient =
                new DefaultAsyncHttpClient(
                        new DefaultAsyncHttpClientConfig.Builder()
                                .setEventLoopGroup(loops)
                                .setUseNativeTransport(false)
                                .setConnectTimeout(Duration.ofMillis(CONNECT_MILLIS))
                                .setPooledConnectionIdleTimeout(Duration.ofMillis(IDLE_MILLIS))
                                .setReadTimeout(Duration.ofMillis(-1))
                                .setMaxRequestRetry(0)
                                .setFollowRedirect(false)
                                .setCookieStore(null)
                                .setEnableAutomaticDecompression(false)
                                .setDisableUrlEncodingForBoundRequests(true)
                                .setProxyServerSelector(ProxyServerSelector.NO_PROXY_SELECTOR)
                                .setTcpNoDelay(true)
                                .setSslEngineFactory(HttpClient::refuseSecured)
                                .build());
    }

    /**
     * Refuses secured calls, which nobody here speaks. The library's own factory would load and set
     * up the machine's cryptography at each start.
     *
     * @param config the library's settings
     * @param host the host
     * @param port the port
     * @return never
     */
    private static SSLEngine refuseSecured(AsyncHttpClientConfig config, String host, int port) {
        throw new IllegalArgumentException("secured calls are not supported: " + host + ":" + port);
    }

    /**
     * Sends a request and gathers the whole answer.
     *
     * @param call the request
     * @return the answer, or a {@link CallFailedException}; cancelling it aborts the exchange
     */
    public CompletableFuture<HttpReply> call(HttpCall call) {
        Gatherer gatherer = new Gatherer();
        OngoingCall ongoing = send(call, gatherer);
        gatherer.mReply.whenComplete(
                (reply, failure) -> {
                    if (failure instanceof CancellationException) {
                        ongoing.abort();
                    }
                });
        return gatherer.mReply;
    }

    /**
     * Sends a request and hands on the answer as it arrives.
     *
     * @param call the request
     * @param listener hears the answer
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
        OngoingCall ongoing = new OngoingCall(listener, () -> silent(call));
        if (call.fresh()) {
            request.setHeader("Connection", "close");
            request.setChannelPoolPartitioning((uri, virtualHost, proxy) -> ongoing);
        }
        ongoing.mFuture = mClient.executeRequest(request.build(), ongoing);
        return ongoing;
    }

    /**
     * Closes the unused connections to a host that left a call without an answer. Connections may
     * go silent for good without a reset; each that is kept would cost one more call its time, and
     * what is read through them (a configuration, upstreams that leave) must be known within a
     * fixed time. Calls on connections of their own say nothing of those that are kept.
     *
     * @param call the call
     */
    private void silent(HttpCall call) {
        if (!call.fresh()) {
            String host = Uri.create(call.url()).getBaseUrl();
            mClient.flushChannelPoolPartitions(host::equals);
        }
    }

    /**
     * Returns how many connections are kept open for the next call.
     *
     * @return the count
     */
    public long idleConnections() {
        return mClient.getClientStats().getTotalIdleConnectionCount();
    }

    /**
     * Returns how many connections carry a call.
     *
     * @return the count
     */
    public long activeConnections() {
        return mClient.getClientStats().getTotalActiveConnectionCount();
    }

    /** Closes all connections. */
    @Override
    public void close() {
        try {
            mClient.close();
        } catch (java.io.IOException exception) {
            throw new IllegalStateException("the client does not close", exception);
        }
    }

    /** An exchange under way; thread safe. Invariant: the listener hears one end at most. */
    public static final class OngoingCall implements AsyncHandler<Void> {

        /** Receives the answer. */
        private final ReplyListener mListener;

        /** Runs when the other side did not answer in time. */
        private final Runnable mOnSilent;

        /** The library's handle, set right after the start. */
        private volatile ListenableFuture<Void> mFuture;

        /** The connection, once there is one. */
        private volatile Channel mChannel;

        /** The status, until the headers come. */
        private int mStatus;

        /** Whether any byte may have left. */
        private volatile boolean mSent;

        /** Whether the exchange has ended or was aborted. */
        private volatile boolean mOver;

        /**
         * Creates an exchange.
         *
         * @param listener hears the answer
         * @param onSilent runs when the other side did not answer in time
         */
        OngoingCall(ReplyListener listener, Runnable onSilent) {
            mListener = listener;
            mOnSilent = onSilent;
        }

        /** Stops reading, so that the sender is held back. */
        public void pause() {
            read(false);
        }

        /** Reads on. */
        public void resume() {
            read(true);
        }

        /**
         * Switches reading.
         *
         * @param on whether to read
         */
        private void read(boolean on) {
            onChannel(
                    channel -> {
                        if (!mOver) {
                            channel.config().setAutoRead(on);
                        }
                    });
        }

        /**
         * Ends the exchange and closes its connection; the listener hears no more. An exchange that
         * is over is left alone: its connection may already be another's.
         */
        public void abort() {
            boolean connected =
                    onChannel(
                            channel -> {
                                if (!mOver) {
                                    mOver = true;
                                    mFuture.cancel(true);
                                    channel.close();
                                }
                            });
            if (!connected) {
                mOver = true;
                ListenableFuture<Void> future = mFuture;
                if (future != null) {
                    future.cancel(true);
                }
            }
        }

        /**
         * Runs an action on the connection's event loop, where the exchange also ends, so that the
         * action never meets a connection that has gone back to the pool.
         *
         * @param action the action
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
         * Returns whether any byte of the request may have left.
         *
         * @return false only when that is certain
         */
        public boolean mayHaveBeenSent() {
            return mSent;
        }

        /** {@inheritDoc} */
        @Override
        public void onTcpConnectSuccess(InetSocketAddress address, Channel channel) {
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
            return mOver ? State.ABORT : State.CONTINUE;
        }

        /** {@inheritDoc} */
        @Override
        public State onHeadersReceived(HttpHeaders headers) {
            if (mOver) {
                return State.ABORT;
            }
            mListener.onHead(mStatus, headers);
            return State.CONTINUE;
        }

        /** {@inheritDoc} */
        @Override
        public State onBodyPartReceived(HttpResponseBodyPart part) {
            if (mOver) {
                return State.ABORT;
            }
            byte[] bytes = part.getBodyPartBytes();
            if (bytes.length > 0) {
                mListener.onPart(bytes);
            }
            return State.CONTINUE;
        }

        /** {@inheritDoc} */
        @Override
        public void onThrowable(Throwable cause) {
            if (!mOver) {
                mOver = true;
                if (cause instanceof TimeoutException) {
                    mOnSilent.run();
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
            if (!mOver) {
                mOver = true;
                mListener.onEnd();
            }
            return null;
        }
    }

    /** Gathers a whole answer. Confined to the exchange's event loop until it completes. */
    private static final class Gatherer implements ReplyListener {

        /** Completes with the answer. */
        private final CompletableFuture<HttpReply> mReply = new CompletableFuture<>();

        /** The body so far. */
        private final ByteBuf mBody = Unpooled.buffer();

        /** The status. */
        private int mStatus;

        /** The headers. */
        private HttpHeaders mHeaders;

        /** {@inheritDoc} */
        @Override
        public void onHead(int status, HttpHeaders headers) {
            mStatus = status;
            mHeaders = headers;
        }

        /** {@inheritDoc} */
        @Override
        public void onPart(byte[] part) {
            mBody.writeBytes(part);
        }

        /** {@inheritDoc} */
        @Override
        public void onEnd() {
            mReply.complete(new HttpReply(mStatus, mHeaders, ByteBufUtil.getBytes(mBody)));
        }

        /** {@inheritDoc} */
        @Override
        public void onFailure(CallFailedException failure) {
            mReply.completeExceptionally(failure);
        }
    }
}
