package tallyweir.backend;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import tallyweir.ids.JobId;
import tallyweir.ids.QueryId;
import tallyweir.ids.SubjectId;
import tallyweir.results.Keeping;
import tallyweir.results.Known;
import tallyweir.results.Mark;
import tallyweir.results.Marks;
import tallyweir.results.ResultStore;
import tallyweir.results.RunId;
import tallyweir.results.Verdict;

/**
 * Results of queries with an effect, retained over restarts. Connects the queries, the rules that decide what is
 * recorded and who gets it ({@link Marks}), and the result store. Not created where an installation retains none.
 * Runs on the backend's thread; wall-clock times are tenths of a millisecond since 1970.
 */
final class KeptResults implements Keeping {
    private static final int MARKS_MOST = 1 << 16;

    private final Queries queries;
    private final ResultStore resultStore;
    private final Marks marks;
    // Job ids of the runs in progress.
    private final Map<RunId, JobId> jobs = new HashMap<>();
    // Runs of the previous process, until they are settled.
    private final Map<JobId, RunId> before = new HashMap<>();
    private final Map<RunId, Long> writtenAt = new HashMap<>();
    private final Set<RunId> admitted = new HashSet<>();
    private boolean trying; // whether a retry of refused writes is scheduled

    KeptResults(Queries queries, ResultStore resultStore) {
        this.queries = queries;
        this.resultStore = resultStore;
        marks = new Marks(this, MARKS_MOST, resultStore.without());
        long number = 0;
        for (ResultStore.Kept k : resultStore.intents()) {
            RunId run = new RunId(--number);
            jobs.put(run, k.job());
            before.put(k.job(), run);
            writtenAt.put(run, k.written());
            marks.found(run, k.mark(), k.body(), k.until());
        }
    }

    private static RunId run(InFlight inFlight) {
        return new RunId(inFlight.id.value());
    }

    /**
     * Retries the writes that the disk has refused.
     *
     * @param wall tenths of a millisecond since 1970
     */
    void tryAgain(long wall) {
        trying = false;
        marks.tryAgain(wall);
    }

    /** How many results are only in memory because the disk refused them. */
    int lost() {
        return marks.lost();
    }

    /** How many runs of the previous process are not settled yet. */
    int unsettled() {
        return before.size();
    }

    /** Looks up the key of an incoming query: whether it is new, a repeat, or in conflict with an earlier body. */
    Verdict read(InFlight inFlight, SubjectId key) {
        inFlight.mark = new Mark(inFlight.workload, key);
        Verdict verdict =
                marks.read(run(inFlight), inFlight.mark, inFlight.bodyDigest(), resultStore.knows(inFlight.mark));
        return verdict == Verdict.NEW && !resultStore.hasRoom(jobs.size()) ? Verdict.NO_ROOM : verdict;
    }

    /**
     * Admits a query for a run.
     *
     * @param until when the key may be forgotten, tenths of a millisecond since 1970
     */
    void admit(InFlight inFlight, long until) {
        if (admitted.add(run(inFlight))) {
            jobs.put(run(inFlight), inFlight.job);
            marks.admit(run(inFlight), inFlight.mark, inFlight.bodyDigest(), until);
        }
    }

    /** Requests the run; it starts once its intent is on the disk. */
    void want(InFlight inFlight) {
        marks.want(run(inFlight));
    }

    /** The decisions no longer want the query to run; has no effect on a run that may have started. */
    void giveUp(InFlight inFlight) {
        marks.giveUp(run(inFlight));
    }

    /** The query's caller needs no further answer; its run, if any, goes on. */
    void leave(InFlight inFlight) {
        marks.leave(run(inFlight));
    }

    /** Answers the query with the outcome recorded under its key, once that is known. */
    void await(InFlight inFlight) {
        marks.await(run(inFlight), inFlight.mark, inFlight.bodyDigest());
    }

    void ended(InFlight inFlight, Known known, byte[] result) {
        marks.ended(run(inFlight), known, result);
    }

    /** Settles a run of the previous process; returns false if the job isn't one. */
    boolean endedBefore(JobId job, Known known, byte[] result) {
        RunId run = before.remove(job);
        if (run == null) {
            return false;
        }
        marks.ended(run, known, result);
        return true;
    }

    /**
     * Settles as unknown the runs that were requested before the kernel started: the earlier kernel can no longer
     * report their outcome.
     *
     * @param wall when the kernel started, tenths of a millisecond since 1970
     */
    void kernelBegan(long wall) {
        Map.copyOf(before).forEach((job, run) -> {
            if (writtenAt.get(run) < wall) {
                endedBefore(job, Known.UNKNOWN, null);
            }
        });
    }

    /** Settles all remaining runs of the previous process as unknown: the kernel has had time to report them. */
    void nobodyKnows() {
        Map.copyOf(before).forEach((job, run) -> endedBefore(job, Known.UNKNOWN, null));
    }

    // ---- requests of the key rules

    @Override
    public void intend(RunId run, Mark mark, long body, long until) {
        resultStore.intend(mark, jobs.get(run), body, until, good -> {
            marks.intended(run, good);
        });
    }

    @Override
    public void record(RunId run, Mark mark, long body, Known known, byte[] result, long until) {
        resultStore.record(mark, jobs.get(run), body, known, result, until, good -> {
            marks.recorded(run, good);
            if (!good && !trying) {
                trying = true;
                queries.tryKeptAgainLater();
            }
        });
    }

    @Override
    public void withdraw(RunId run, Mark mark) {
        resultStore.withdraw(mark, good -> {
            marks.withdrawn(run);
        });
    }

    @Override
    public void look(Mark mark) {
        resultStore.look(mark, kept -> {
            if (kept == null) {
                marks.lookFailed(mark);
            } else {
                marks.looked(mark, kept.body(), kept.known() == null ? Known.UNKNOWN : kept.known(), kept.result());
            }
        });
    }

    @Override
    public void begin(RunId run) {
        queries.beginKept(new QueryId(run.value()));
    }

    @Override
    public void answer(RunId copy, Known known, byte[] result) {
        queries.answerKept(new QueryId(copy.value()), known == Known.GOOD ? result : null);
    }

    @Override
    public void otherBody(RunId copy) {
        queries.answerOtherBody(new QueryId(copy.value()));
    }

    @Override
    public void notBegun(RunId copy) {
        queries.notBegun(new QueryId(copy.value()));
    }

    @Override
    public void over(RunId run) {
        jobs.remove(run);
        writtenAt.remove(run);
        admitted.remove(run);
    }
}
