package org.troutpier.daemon.serving;

import java.util.ArrayList;
import java.util.List;

/** What the callers of one organisation got. Confined to the test's thread. */
final class PlainTally {
    int mSent;
    int mInTime;
    int mInTimeAfterReturn;
    int mLate;
    int mRefused;
    int mFailed;

    /** The times after which first attempts were refused, milliseconds. */
    final List<Long> mRefusalMillis = new ArrayList<>();

    void add(PlainTally other) {
        mSent += other.mSent;
        mInTime += other.mInTime;
        mInTimeAfterReturn += other.mInTimeAfterReturn;
        mLate += other.mLate;
        mRefused += other.mRefused;
        mFailed += other.mFailed;
        mRefusalMillis.addAll(other.mRefusalMillis);
    }

    /** Returns the share that was answered in time, at the first attempt or the second. */
    double inTimeShare() {
        return (mInTime + mInTimeAfterReturn) / (double) Math.max(1, mSent);
    }

    @Override
    public String toString() {
        return "%d sent, %d in time, %d after a return, %d late, %d refused, %d failed"
                .formatted(mSent, mInTime, mInTimeAfterReturn, mLate, mRefused, mFailed);
    }
}
