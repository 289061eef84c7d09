package org.troutpier.daemon.role;

import org.troutpier.daemon.directory.UpstreamEntry;

/** Role change of one engine. Confined to the control thread. */
final class RoleChange {

    final UpstreamEntry mEngine;

    /** The new role. */
    final UpstreamEntry.Role mRole;

    /** When the change was started, milliseconds. */
    final long mStartedAt;

    /** When the change is abandoned, milliseconds. */
    final long mDeadline;

    /** Number of orders that the engine had accepted before; -1 if not known yet. */
    long mOrdersBefore = -1;

    /** Whether the order was certainly accepted. */
    boolean mAccepted;

    /** Whether a call to the engine is in flight. */
    boolean mCallPending;

    boolean mFinished;

    /** Starts a change. */
    RoleChange(UpstreamEntry engine, UpstreamEntry.Role role, long startedAt, long deadline) {
        mEngine = engine;
        mRole = role;
        mStartedAt = startedAt;
        mDeadline = deadline;
    }
}
