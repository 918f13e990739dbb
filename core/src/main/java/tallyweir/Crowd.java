package tallyweir;

/**
 * Counts the queries that were started and have not ended, and of these the ones on the cores, with their age there.
 */
final class Crowd {
    int all; // started and not ended, including those blocked on a call
    int on; // of these, running on the cores
    private double sinceSum;

    void onCores(long now, Query q) {
        on++;
        q.onSince = now - q.onCores;
        sinceSum += q.onSince;
    }

    void offCores(long now, Query q) {
        on--;
        q.onCores = now - q.onSince;
        sinceSum -= q.onSince;
    }

    /** Mean time that the queries on the cores have spent there so far; 0 when there are none. */
    long meanAge(long now) {
        return on == 0 ? 0 : (long) (now - sinceSum / on);
    }
}
