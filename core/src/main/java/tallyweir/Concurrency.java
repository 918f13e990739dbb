package tallyweir;

import java.util.Comparator;
import java.util.TreeSet;

/**
 * Counts the queries that were started and have not ended, and of these the ones on the cores, with their age there. The age
 * of a run tells how long runs take at present only while the run is not stuck and is known to be on the cores. Otherwise
 * one run that never ends would pass for a stall of the server.
 */
final class Concurrency {
    // Age, as a multiple of the hard limit, past which a run is taken to be stuck and not slow.
    private static final int MAX_AGE_HARD_LIMITS = 2;
    private static final Comparator<Query> BY_END_OF_TELLING =
            Comparator.comparingLong((Query q) -> q.ageTellsUntil).thenComparingLong(q -> q.sequence);

    int started; // started and not ended, including those blocked on a call
    int running; // of these, running on the cores
    private double startTimeSum;
    private final TreeSet<Query> telling = new TreeSet<>(BY_END_OF_TELLING); // runs whose age tells how long runs take
    private double tellingStartTimeSum;

    void enterCores(long now, Query q) {
        running++;
        q.coreStartAt = now - q.coreTime;
        startTimeSum += q.coreStartAt;
        q.ageTellsUntil = q.coreStartAt + MAX_AGE_HARD_LIMITS * q.workload.hardLimit;
        tellingStartTimeSum += q.coreStartAt;
        telling.add(q);
    }

    void leaveCores(long now, Query q) {
        running--;
        q.coreTime = now - q.coreStartAt;
        startTimeSum -= q.coreStartAt;
        disregardAge(q);
    }

    /** The age of this run no longer tells how long runs take. It still counts as on the cores. */
    void disregardAge(Query q) {
        if (telling.remove(q)) {
            tellingStartTimeSum -= q.coreStartAt;
        }
    }

    /**
     * Mean time that the queries on the cores have spent there so far; 0 when there are none.
     *
     * @param coresTaken whether all cores are taken. If only runs are on them whose age is disregarded, their ages are all that
     *     tells of a stall
     */
    long meanAge(long now, boolean coresTaken) {
        while (!telling.isEmpty() && telling.first().ageTellsUntil < now) {
            disregardAge(telling.first());
        }
        if (telling.isEmpty()) {
            return coresTaken ? meanAge(now, startTimeSum, running) : 0;
        }
        return meanAge(now, tellingStartTimeSum, telling.size());
    }

    private static long meanAge(long now, double startTimeSum, int runs) {
        return runs == 0 ? 0 : (long) (now - startTimeSum / runs);
    }
}
