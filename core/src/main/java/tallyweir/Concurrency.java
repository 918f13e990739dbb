package tallyweir;

/**
 * Counts the queries that were started and have not ended, and of these the ones on the cores, with their age there.
 */
final class Concurrency {
    int started; // started and not ended, including those blocked on a call
    int running; // of these, running on the cores
    private double startTimeSum;

    void enterCores(long now, Query q) {
        running++;
        q.coreStartAt = now - q.coreTime;
        startTimeSum += q.coreStartAt;
    }

    void leaveCores(long now, Query q) {
        running--;
        q.coreTime = now - q.coreStartAt;
        startTimeSum -= q.coreStartAt;
    }

    /** Mean time that the queries on the cores have spent there so far; 0 when there are none. */
    long meanAge(long now) {
        return running == 0 ? 0 : (long) (now - startTimeSum / running);
    }
}
