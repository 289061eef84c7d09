package org.troutpier.common.http;

import io.netty.handler.codec.http.FullHttpResponse;
import org.troutpier.common.result.ResultCode;

/**
 * Makes the answer to a request that the server itself refuses. Implementations are thread safe.
 */
public interface ServerRefusals {

    /**
     * Makes a whole answer.
     *
     * @param code why the request is refused
     * @return the answer, owned by the caller of this method
     */
    FullHttpResponse refuse(ResultCode code);

    /** Answers with the code as JSON. */
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
