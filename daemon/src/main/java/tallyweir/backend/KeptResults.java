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
 * Results of queries with an effect, kept over restarts: stands between the queries, the marks that decide what is
 * recorded and who gets it, and the result store. Nothing here where an installation keeps none.
 */
final class KeptResults implements Keeping {
    private static final int MARKS_MOST = 1 << 16;

    private final Queries queries;
    private final ResultStore resultStore;
    private final Marks marks;
    private final Map<RunId, JobId> jobs = new HashMap<>(); // of runs under way, by what the kernel calls them
    private final Map<JobId, RunId> before = new HashMap<>(); // runs of the process before, until they are settled
    private final Map<RunId, Long> writtenAt = new HashMap<>();
    private final Set<RunId> admitted = new HashSet<>();
    private boolean trying; // the disk will be offered again what it refused

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

    private static RunId run(InFlight t) {
        return new RunId(t.id.value());
    }

    /** Offers the disk again what it has refused; tenths of a millisecond since 1970. */
    void tryAgain(long wall) {
        trying = false;
        marks.tryAgain(wall);
    }

    /** How many results are in memory alone, the disk having refused them. */
    int lost() {
        return marks.lost();
    }

    /** How many runs of the process before are not settled. */
    int unsettled() {
        return before.size();
    }

    Verdict read(InFlight t, SubjectId stamp) {
        t.mark = new Mark(t.workload, stamp);
        Verdict v = marks.read(run(t), t.mark, t.bodyDigest(), resultStore.knows(t.mark));
        return v == Verdict.NEW && !resultStore.hasRoom(jobs.size()) ? Verdict.NO_ROOM : v;
    }

    /** @param until when the mark may be forgotten, tenths of a millisecond since 1970 */
    void admit(InFlight t, long until) {
        if (admitted.add(run(t))) {
            jobs.put(run(t), t.job);
            marks.admit(run(t), t.mark, t.bodyDigest(), until);
        }
    }

    void want(InFlight t) {
        marks.want(run(t));
    }

    void giveUp(InFlight t) {
        marks.giveUp(run(t));
    }

    void leave(InFlight t) {
        marks.leave(run(t));
    }

    void await(InFlight t) {
        marks.await(run(t), t.mark, t.bodyDigest());
    }

    void ended(InFlight t, Known known, byte[] result) {
        marks.ended(run(t), known, result);
    }

    /** A run of the process before has ended; false if it is none. */
    boolean endedBefore(JobId job, Known known, byte[] result) {
        RunId run = before.remove(job);
        if (run == null) {
            return false;
        }
        marks.ended(run, known, result);
        return true;
    }

    /** Runs asked of a kernel that is no more: nobody can tell what became of them. */
    void kernelBegan(long wall) {
        Map.copyOf(before).forEach((job, run) -> {
            if (writtenAt.get(run) < wall) {
                endedBefore(job, Known.UNKNOWN, null);
            }
        });
    }

    /** The kernel has had its time to tell of the runs of the process before. */
    void nobodyKnows() {
        Map.copyOf(before).forEach((job, run) -> endedBefore(job, Known.UNKNOWN, null));
    }

    // ---- what the marks ask for

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
