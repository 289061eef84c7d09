package org.troutpier.common.http;

import io.netty.handler.codec.http.FullHttpResponse;
import org.troutpier.common.result.ResultCode;

/**
 * Builds the response to a request that the server itself refuses. Implementations are thread safe.
 */
public interface ServerRefusals {

    /**
     * Builds a complete response.
     *
     * @return the response, owned by the caller of this method
     */
    FullHttpResponse refuse(ResultCode code);

    /** Builds a JSON error response. */
    enum AsJson implements ServerRefusals {
        /** The only instance. */
        INSTANCE;

        /** {@inheritDoc} */
        @Override
        public FullHttpResponse refuse(ResultCode code) {
            return HttpResponses.refusal(code, code.meaning());
        }
    }
}
