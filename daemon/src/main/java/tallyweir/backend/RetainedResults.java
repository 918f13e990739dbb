package tallyweir.backend;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import tallyweir.ids.JobId;
import tallyweir.ids.QueryId;
import tallyweir.ids.SubjectId;
import tallyweir.results.IdempotencyActions;
import tallyweir.results.IdempotencyKey;
import tallyweir.results.IdempotencyTracker;
import tallyweir.results.Known;
import tallyweir.results.ResultStore;
import tallyweir.results.RunId;
import tallyweir.results.Verdict;

/**
 * Results of queries with an effect, retained over restarts. Connects the queries, the rules that decide what is
 * recorded and who gets it ({@link IdempotencyTracker}), and the result store. Not created where an installation retains none.
 * Runs on the backend's thread; wall-clock times are tenths of a millisecond since 1970.
 */
final class RetainedResults implements IdempotencyActions {
    private static final int MAX_KEYS = 1 << 16;

    private final Queries queries;
    private final ResultStore resultStore;
    private final IdempotencyTracker keys;
    // Job ids of the runs in progress.
    private final Map<RunId, JobId> jobsByRun = new HashMap<>();
    // Runs of the previous process, until they are settled.
    private final Map<JobId, RunId> previousRuns = new HashMap<>();
    private final Map<RunId, Long> intentWrittenAt = new HashMap<>();
    private final Set<RunId> admitted = new HashSet<>();
    private boolean retryScheduled; // whether a retry of refused writes is scheduled

    RetainedResults(Queries queries, ResultStore resultStore) {
        this.queries = queries;
        this.resultStore = resultStore;
        keys = new IdempotencyTracker(this, MAX_KEYS, resultStore.disabledGuards());
        long number = 0;
        for (ResultStore.StoredResult k : resultStore.intentsAtStart()) {
            RunId run = new RunId(--number);
            jobsByRun.put(run, k.job());
            previousRuns.put(k.job(), run);
            intentWrittenAt.put(run, k.writtenAt());
            keys.restoreIntent(run, k.key(), k.body(), k.expiresAt());
        }
    }

    private static RunId runId(InFlight inFlight) {
        return new RunId(inFlight.id.value());
    }

    /**
     * Retries the writes that the disk has refused.
     *
     * @param wall tenths of a millisecond since 1970
     */
    void retryWrites(long wall) {
        retryScheduled = false;
        keys.retryRecording(wall);
    }

    /** How many results are only in memory because the disk refused them. */
    int unwrittenCount() {
        return keys.unrecordedOutcomes();
    }

    /** How many runs of the previous process are not settled yet. */
    int unsettledCount() {
        return previousRuns.size();
    }

    /** Looks up the key of an incoming query: whether it is new, a repeat, or in conflict with an earlier body. */
    Verdict lookUp(InFlight inFlight, SubjectId key) {
        inFlight.resultKey = new IdempotencyKey(inFlight.workload, key);
        Verdict verdict = keys.onCopyRead(
                runId(inFlight), inFlight.resultKey, inFlight.bodyDigest(), resultStore.contains(inFlight.resultKey));
        return verdict == Verdict.NEW && !resultStore.hasRoom(jobsByRun.size()) ? Verdict.NO_ROOM : verdict;
    }

    /**
     * Admits a query for a run.
     *
     * @param until when the key may be forgotten, tenths of a millisecond since 1970
     */
    void admit(InFlight inFlight, long until) {
        if (admitted.add(runId(inFlight))) {
            jobsByRun.put(runId(inFlight), inFlight.job);
            keys.admit(runId(inFlight), inFlight.resultKey, inFlight.bodyDigest(), until);
        }
    }

    /** Requests the run; it starts once its intent is on the disk. */
    void requestRun(InFlight inFlight) {
        keys.requestStart(runId(inFlight));
    }

    /** The decisions no longer want the query to run; has no effect on a run that may have started. */
    void cancel(InFlight inFlight) {
        keys.giveUp(runId(inFlight));
    }

    /** The query's caller needs no further answer; its run, if any, goes on. */
    void detach(InFlight inFlight) {
        keys.onDisconnected(runId(inFlight));
    }

    /** Answers the query with the outcome recorded under its key, once that is known. */
    void awaitOutcome(InFlight inFlight) {
        keys.awaitOutcome(runId(inFlight), inFlight.resultKey, inFlight.bodyDigest());
    }

    void runEnded(InFlight inFlight, Known known, byte[] result) {
        keys.onRunEnded(runId(inFlight), known, result);
    }

    /** The run has not begun and never will: its key is free again once its intent has been deleted. */
    void runNeverBegan(InFlight inFlight) {
        keys.onNeverBegan(runId(inFlight));
    }

    /** Settles a run of the previous process; returns false if the job isn't one. */
    boolean previousRunEnded(JobId job, Known known, byte[] result) {
        RunId run = previousRuns.remove(job);
        if (run == null) {
            return false;
        }
        keys.onRunEnded(run, known, result);
        return true;
    }

    /**
     * Settles as unknown the runs that were requested before the kernel started: the earlier kernel can no longer
     * report their outcome.
     *
     * @param wall when the kernel started, tenths of a millisecond since 1970
     */
    void kernelStarted(long wall) {
        Map.copyOf(previousRuns).forEach((job, run) -> {
            if (intentWrittenAt.get(run) < wall) {
                previousRunEnded(job, Known.UNKNOWN, null);
            }
        });
    }

    /** Settles all remaining runs of the previous process as unknown: the kernel has had time to report them. */
    void settleRemainingAsUnknown() {
        Map.copyOf(previousRuns).forEach((job, run) -> previousRunEnded(job, Known.UNKNOWN, null));
    }

    // ---- requests of the key rules

    @Override
    public void recordIntent(RunId run, IdempotencyKey mark, long body, long until) {
        resultStore.recordIntent(mark, jobsByRun.get(run), body, until, good -> {
            keys.onIntentRecorded(run, good);
        });
    }

    @Override
    public void record(RunId run, IdempotencyKey mark, long body, Known known, byte[] result, long until) {
        resultStore.record(mark, jobsByRun.get(run), body, known, result, until, good -> {
            keys.onOutcomeRecorded(run, good);
            if (!good && !retryScheduled) {
                retryScheduled = true;
                queries.scheduleDiskRetry();
            }
        });
    }

    @Override
    public void deleteIntent(RunId run, IdempotencyKey mark) {
        resultStore.deleteIntent(mark, good -> {
            keys.onIntentDeleted(run);
        });
    }

    @Override
    public void readRecord(IdempotencyKey mark) {
        resultStore.read(mark, kept -> {
            if (kept == null) {
                keys.onReadFailed(mark);
            } else {
                keys.onRecordRead(
                        mark, kept.body(), kept.known() == null ? Known.UNKNOWN : kept.known(), kept.result());
            }
        });
    }

    @Override
    public void startRun(RunId run) {
        queries.intentWritten(new QueryId(run.value()));
    }

    @Override
    public void answer(RunId copy, Known known, byte[] result) {
        queries.answerRecorded(new QueryId(copy.value()), known == Known.GOOD ? result : null);
    }

    @Override
    public void refuseOtherBody(RunId copy) {
        queries.answerBodyMismatch(new QueryId(copy.value()));
    }

    @Override
    public void deferNotStarted(RunId copy) {
        queries.runNeverStarted(new QueryId(copy.value()));
    }

    @Override
    public void release(RunId run) {
        jobsByRun.remove(run);
        intentWrittenAt.remove(run);
        admitted.remove(run);
    }
}
