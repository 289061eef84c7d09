package org.troutpier.cli;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.util.List;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import org.troutpier.common.http.CallFailedException;
import org.troutpier.common.http.HttpCall;
import org.troutpier.common.http.HttpClient;
import org.troutpier.common.http.HttpReply;
import org.troutpier.common.result.TroutpierException;
import org.troutpier.common.settings.Address;

/** Client of the routers' operator ports. Confined to the command line's thread. */
final class RouterClient implements AutoCloseable {

    /** Time limit of a change, and of a query to the first reachable router, milliseconds. */
    private static final int CHANGE_TIMEOUT_MILLIS = 15_000;

    private final EventLoopGroup mLoops = new NioEventLoopGroup(1);

    private final HttpClient mCalls = new HttpClient(mLoops);

    private final String mToken;

    /** Creates a client. */
    RouterClient(String token) {
        mToken = token;
    }

    /**
     * Sends a GET request to one address.
     *
     * @param address where
     * @param path the path and query
     * @return the response; fails with {@link CallFailedException}
     */
    HttpReply get(Address address, String path) {
        return send(HttpCall.of("GET", address.url(path)));
    }

    /**
     * Sends JSON to the first router that can be reached. If a router may have received it, no
     * other router is tried.
     *
     * @return the JSON of the response; fails with a {@link CliException}
     */
    JsonNode post(List<Address> routers, String path, Object body) {
        return sendToFirstReachable(routers, "POST", path, body);
    }

    /**
     * Sends a GET request to the first router that can be reached.
     *
     * @param path the path and query
     * @return the JSON of the response; fails with a {@link CliException}
     */
    JsonNode getFromFirst(List<Address> routers, String path) {
        return sendToFirstReachable(routers, "GET", path, null);
    }

    /**
     * Sends to the first router that can be reached. A request with a body goes to no other router
     * once it may have been sent.
     *
     * @param path the path and query
     * @param body what to send as JSON, or null
     */
    private JsonNode sendToFirstReachable(
            List<Address> routers, String method, String path, Object body) {
        CallFailedException last = null;
        for (Address router : routers) {
            HttpCall call =
                    HttpCall.of(method, router.url(path)).withTimeout(CHANGE_TIMEOUT_MILLIS);
            try {
                return readBody(send(body == null ? call : call.withJson(body)));
            } catch (CallFailedException exception) {
                if (exception.mayHaveBeenSent() && body != null) {
                    throw new CliException(
                            ExitCode.UNKNOWN,
                            router + " did not answer; ask `show changes` what became of it");
                }
                last = exception;
            }
        }
        throw new CliException(ExitCode.UNREACHED, "no router was reached: " + last.getMessage());
    }

    /** Reads the JSON of a response; fails if it is not JSON or its status is not 2xx. */
    private static JsonNode readBody(HttpReply reply) {
        JsonNode body;
        try {
            body = reply.as(JsonNode.class);
        } catch (TroutpierException exception) {
            throw new CliException(ExitCode.UNKNOWN, "the router answers " + reply.status());
        }
        if (reply.isSuccessful()) {
            return body;
        }
        JsonNode error = body.path("error");
        String retryAfter = error.path("retry_after_seconds").asText("");
        throw new CliException(
                ExitCode.of(error.path("family").asText()),
                error.path("code").asText()
                        + " "
                        + error.path("detail").asText()
                        + (retryAfter.isEmpty() ? "" : " (come back in " + retryAfter + " s)"));
    }

    private HttpReply send(HttpCall call) {
        try {
            return mCalls.call(call.withHeader("Authorization", "Bearer " + mToken)).join();
        } catch (CompletionException exception) {
            if (exception.getCause() instanceof CallFailedException failed) {
                throw failed;
            }
            throw exception;
        }
    }

    /** Closes all connections. */
    @Override
    public void close() {
        mCalls.close();
        mLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
