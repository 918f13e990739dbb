package tallyweir;

/** Counts what was begun and not ended, and of that what is on the cores, with its age there. */
final class Crowd {
    int all;
    int on;
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

    long meanAge(long now) {
        return on == 0 ? 0 : (long) (now - sinceSum / on);
    }
}
