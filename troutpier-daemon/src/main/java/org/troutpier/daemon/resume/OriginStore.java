package org.troutpier.daemon.resume;

import java.util.Optional;
import java.util.function.Consumer;
import org.troutpier.common.id.RequestId;

/** Origins that outlive all routers. Implementations are confined to the control thread. */
public interface OriginStore {

    /** Stores nothing. */
    OriginStore NONE =
            new OriginStore() {

                /** {@inheritDoc} */
                @Override
                public void add(RequestId attempt, StreamOrigin origin) {}

                /** {@inheritDoc} */
                @Override
                public void find(RequestId attempt, Consumer<Answer> next) {
                    next.accept(Answer.UNREAD);
                }
            };

    /** Stores the origin of a stream that this router begins, if that may be needed. */
    void add(RequestId attempt, StreamOrigin origin);

    /**
     * Finds the origin of a stream that any router began.
     *
     * @param next receives the answer
     */
    void find(RequestId attempt, Consumer<Answer> next);

    /**
     * What the store knows of a stream. Immutable and thread safe.
     *
     * @param origin the origin, if it is stored
     * @param read whether the store was read
     */
    record Answer(Optional<StreamOrigin> origin, boolean read) {

        /** The store did not answer. */
        public static final Answer UNREAD = new Answer(Optional.empty(), false);
    }
}
