package tallyweir.backend;

import java.util.List;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import tallyweir.Choice;
import tallyweir.Outcome;
import tallyweir.backend.Counters.Count;
import tallyweir.ids.JobId;
import tallyweir.kernel.RunEnd;
import tallyweir.results.Known;

/**
 * What follows from the kernel's notices about runs: answers, records, and the next decisions. A query is running from when it
 * is handed to the kernel until its run has ended here, which happens once for each run. Runs on the backend's thread.
 */
final class Runs {
    private final QueryTable queries;
    private final Answers answers;
    private final Repeats repeats;
    private final RecentRuns recentOneShotRuns;
    private final RetainedResults retainedResults; // null if results are not retained over restarts
    private final Store store;
    private final Supplier<? extends Choice> decisions;
    private final Counters counters;
    private final LongSupplier clock;
    private final long maxRetryAfter;
    private final RateLimitedLog warnings;

    Runs(
            QueryTable queries,
            Answers answers,
            Repeats repeats,
            RecentRuns recentOneShotRuns,
            RetainedResults retainedResults,
            Store store,
            Supplier<? extends Choice> decisions,
            Counters counters,
            LongSupplier clock,
            long maxRetryAfter) {
        this.queries = queries;
        this.answers = answers;
        this.repeats = repeats;
        this.recentOneShotRuns = recentOneShotRuns;
        this.retainedResults = retainedResults;
        this.store = store;
        this.decisions = decisions;
        this.counters = counters;
        this.clock = clock;
        this.maxRetryAfter = maxRetryAfter;
        warnings = new RateLimitedLog(Runs.class, clock);
    }

    /** The queries whose runs have not ended. */
    List<InFlight> inProgress() {
        return queries.running();
    }

    /** The query is handed to the kernel, or to the retained results, which record the intent first. */
    void started(InFlight inFlight) {
        inFlight.running = true;
        inFlight.endMayBeMissed = false;
        inFlight.replyDelivery = null;
        inFlight.stopDelivery = null;
        repeats.runStarted(inFlight);
        noteOneShotRun(inFlight);
    }

    private void noteOneShotRun(InFlight inFlight) {
        if (inFlight.knownByIdOnly) {
            recentOneShotRuns.add(inFlight.job, clock.getAsLong());
        }
    }

    // ---- doubts

    /** It isn't known whether the run is on the cores: its start, the reply to its call or its end may be lost. */
    void uncertain(InFlight inFlight) {
        decisions.get().onRunUncertain(inFlight.id);
    }

    /** Notices of the kernel are lost for good: any of the runs may have ended. */
    void noticesMissed() {
        for (InFlight inFlight : inProgress()) {
            inFlight.endMayBeMissed = true;
            uncertain(inFlight);
        }
    }

    /** All runs are lost: harmless queries go back to be run again; the effect of the others is unknown. */
    void kernelLost() {
        for (InFlight inFlight : inProgress()) {
            if (inFlight.resultKey == null) {
                finish(inFlight, Outcome.RECALLED, null);
            } else {
                answers.errored(inFlight);
                retainedResults.runEnded(inFlight, Known.UNKNOWN, null);
                finish(inFlight, Outcome.ERRORED, null);
            }
        }
    }

    // ---- calls and ends

    /** The run is blocked on a call to the store with this body. */
    void blockedOnCall(JobId job, byte[] body) {
        InFlight inFlight = queries.find(job);
        if (inFlight != null && inFlight.running) {
            inFlight.pendingCall = body;
            inFlight.replyDelivery = null;
            if (inFlight.runDelivery != null) {
                inFlight.runDelivery.markRead();
            }
            decisions.get().onBlockedOnCall(inFlight.id);
        }
    }

    /** A run of this process, or with retained results also of the one before, has ended. */
    void ended(JobId job, RunEnd end, byte[] result) {
        InFlight inFlight = queries.find(job);
        if (inFlight == null || !inFlight.running) {
            settlePrevious(job, end, result);
            return;
        }
        counters.add(count(end));
        if (end == RunEnd.GONE && !inFlight.endMayBeMissed) {
            neverBegan(inFlight);
        } else if (inFlight.resultKey != null) {
            recordedRunEnded(inFlight, end, result);
        } else {
            unrecordedRunEnded(inFlight, end, result);
        }
    }

    private void settlePrevious(JobId job, RunEnd end, byte[] result) {
        if (retainedResults != null
                && retainedResults.previousRunEnded(job, end == RunEnd.GOOD ? Known.GOOD : Known.BAD, result)) {
            counters.add(Count.MARKS_SETTLED);
        }
    }

    private static Count count(RunEnd end) {
        return switch (end) {
            case GOOD -> Count.RUNS_GOOD;
            case BAD -> Count.RUNS_BAD;
            case CUT -> Count.RUNS_CUT;
            case GONE -> Count.RUNS_GONE;
        };
    }

    private void unrecordedRunEnded(InFlight inFlight, RunEnd end, byte[] result) {
        switch (end) {
            case GOOD -> {
                answers.handled(inFlight, result);
                finish(inFlight, Outcome.COMPLETED, result);
            }
            case CUT -> finish(inFlight, Outcome.RECALLED, null);
            case GONE -> {
                answers.errored(inFlight);
                finish(inFlight, Outcome.SUPERSEDED, null);
            }
            case BAD -> {
                answers.errored(inFlight);
                finish(inFlight, Outcome.ERRORED, null);
            }
        }
    }

    /**
     * Handles the end of a run whose outcome is recorded. A good result is answered only once it is on the disk; a
     * failure is answered at once.
     */
    private void recordedRunEnded(InFlight inFlight, RunEnd end, byte[] result) {
        boolean good = end == RunEnd.GOOD;
        inFlight.recordingResult = good && !inFlight.answered;
        if (!good) {
            answers.errored(inFlight);
        }
        finish(inFlight, good ? Outcome.COMPLETED : Outcome.ERRORED, null);
        retainedResults.runEnded(inFlight, known(end), result);
    }

    private static Known known(RunEnd end) {
        return switch (end) {
            case GOOD -> Known.GOOD;
            case BAD, CUT -> Known.BAD;
            case GONE -> Known.UNKNOWN; // it may have ended, and the notice of that was missed
        };
    }

    /**
     * The query is over and the kernel has not begun its run, nor will it. Its key is free again, and queries that waited for
     * its result may come again.
     */
    private void neverBegan(InFlight inFlight) {
        warnings.warn("a run had not begun when its query was over; it is released");
        answers.errored(inFlight);
        List<InFlight> repeatsWaiting = repeats.takeWaiting(inFlight);
        repeats.forget(inFlight);
        finish(inFlight, Outcome.SUPERSEDED, null);
        if (inFlight.resultKey != null) {
            retainedResults.runNeverBegan(inFlight);
        }
        repeatsWaiting.forEach(this::deferRepeat);
    }

    private void deferRepeat(InFlight inFlight) {
        if (answers.deferred(inFlight, maxRetryAfter, false)) {
            decisions.get().onRunEnded(inFlight.id, Outcome.ERRORED);
        }
    }

    /** The kernel rejected the run command: the query did not run, and would not if sent again. */
    void rejected(JobId job) {
        InFlight inFlight = queries.find(job);
        if (inFlight == null || !inFlight.running) {
            return;
        }
        answers.errored(inFlight);
        if (!inFlight.endMayBeMissed) {
            repeats.forget(inFlight);
        }
        finish(inFlight, Outcome.SUPERSEDED, null);
        if (inFlight.resultKey != null) {
            retainedResults.runEnded(inFlight, Known.BAD, null);
        }
    }

    /** Ends the run: closes its call, tells the decisions, and answers queries that waited for its result. */
    void finish(InFlight inFlight, Outcome outcome, byte[] result) {
        store.cancel(inFlight);
        noteOneShotRun(inFlight);
        inFlight.pendingCall = null;
        inFlight.running = false;
        boolean runsAgain = outcome == Outcome.RECALLED && !inFlight.answered && inFlight.isHarmless();
        List<InFlight> served = runsAgain ? List.of() : repeats.ended(inFlight, result, clock.getAsLong());
        decisions.get().onRunEnded(inFlight.id, outcome);
        answers.releaseIfDone(inFlight);
        served.forEach(this::answerRepeatFromEntry);
    }

    // ---- repeats

    void answerRepeatFromEntry(InFlight inFlight) {
        answerRepeat(inFlight, repeats.result(inFlight));
    }

    /** Answers a repeat with the result of the query that it repeats; null if that has none. */
    void answerRepeat(InFlight inFlight, byte[] result) {
        boolean first = result != null ? answers.handled(inFlight, result) : answers.errored(inFlight);
        if (first) {
            decisions.get().onRunEnded(inFlight.id, result != null ? Outcome.COMPLETED : Outcome.ERRORED);
        }
    }
}
