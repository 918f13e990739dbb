package tallyweir.backend;

import java.util.function.LongSupplier;
import tallyweir.backend.Counters.Count;

/**
 * Gives each query in flight its only answer, and releases the query once it is answered and no run of it is left. Runs on the
 * backend's thread; times are in tenths of a millisecond.
 */
final class Answers {
    private final QueryTable queries;
    private final Repeats repeats;
    private final Deadlines deadlines;
    private final Counters counters;
    private final LongSupplier clock;
    private boolean countsFinished;
    private long finishedCount;
    private long erroredOrLateCount;

    Answers(QueryTable queries, Repeats repeats, Deadlines deadlines, Counters counters, LongSupplier clock) {
        this.queries = queries;
        this.repeats = repeats;
        this.deadlines = deadlines;
        this.counters = counters;
        this.clock = clock;
    }

    // ---- answers; each does nothing and returns false if the query has been answered

    boolean handled(InFlight inFlight, byte[] result) {
        boolean first = markAnswered(inFlight, Count.ANSWERED_HANDLED);
        if (first) {
            inFlight.responder.handled(result);
        }
        return first;
    }

    boolean errored(InFlight inFlight) {
        boolean first = markAnswered(inFlight, Count.ANSWERED_ERRORED);
        if (first) {
            inFlight.responder.errored();
        }
        return first;
    }

    /** The query has not run; see {@link QueryResponder#deferred}. */
    boolean deferred(InFlight inFlight, long retryAfter, boolean nowhereElse) {
        boolean first = markAnswered(inFlight, Count.ANSWERED_DEFERRED);
        if (first) {
            inFlight.responder.deferred(retryAfter, nowhereElse);
        }
        return first;
    }

    /** The query's idempotency key belongs to a query with another body. */
    boolean bodyMismatch(InFlight inFlight) {
        boolean first = markAnswered(inFlight, Count.ANSWERED_ERRORED);
        if (first) {
            inFlight.responder.bodyMismatch();
        }
        return first;
    }

    private boolean markAnswered(InFlight inFlight, Count count) {
        if (inFlight.answered) {
            return false;
        }
        if (countsFinished && count != Count.ANSWERED_DEFERRED) {
            finishedCount++;
            boolean late = clock.getAsLong() > inFlight.expectedDeadline;
            erroredOrLateCount += count == Count.ANSWERED_ERRORED || late ? 1 : 0;
        }
        inFlight.answered = true;
        counters.add(count);
        releaseIfDone(inFlight);
        return true;
    }

    /** Releases the query if it is answered and no run of it is left. */
    void releaseIfDone(InFlight inFlight) {
        if (inFlight.answered && !inFlight.running && !inFlight.released) {
            inFlight.released = true;
            deadlines.cancel(inFlight.deadline);
            repeats.stopWaiting(inFlight);
            queries.remove(inFlight);
        }
    }

    // ---- counts for a fleet

    /** Counts finished queries from now on. Their expected deadlines must be set. */
    void countFinished() {
        countsFinished = true;
    }

    /** How many queries have been handled or errored. */
    long finishedCount() {
        return finishedCount;
    }

    /** How many queries have been errored, or handled after their expected time. */
    long erroredOrLateCount() {
        return erroredOrLateCount;
    }
}
