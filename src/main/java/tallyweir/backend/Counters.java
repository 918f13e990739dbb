package tallyweir.backend;

/** What was taken in, sent and answered since the start; printed on request and at exit. */
public final class Counters {
    enum Count {
        CONNECTIONS_ACCEPTED, CONNECTIONS_TURNED_BACK, CONNECTIONS_CLOSED_IDLE, CONNECTIONS_CLOSED_BAD,
        CONNECTIONS_ENDED, CHECKS, QUERIES_READ, QUERIES_MALFORMED, QUERIES_HALF, QUERIES_GONE, ANSWERED_HANDLED,
        ANSWERED_DEFERRED, ANSWERED_ERRORED, ANSWERED_BY_THE_LAST_GUARD, ANSWERS_UNDELIVERABLE, RUNS_ASKED,
        RUNS_STOPPED, RUNS_GOOD, RUNS_BAD, RUNS_CUT, RUNS_GONE, RUNS_NOT_DONE, CALLS_ASKED, CALLS_SENT, CALLS_OK,
        CALLS_BUSY, CALLS_ERR, CALLS_LATE, CALLS_VOID, CALLS_TIMED_OUT, CALLS_BROKEN, CALLS_NEVER_SENT,
        KERNEL_LINKS, KERNEL_NOTICES, KERNEL_NOTICES_REPEATED, KERNEL_NOTICES_UNKNOWN, KERNEL_NOTICES_MISSED,
        GAUGES_READ, GAUGES_MISSED, STORE_LINKS, REPORTS_SENT, FAULTS
    }

    private final long[] counts = new long[Count.values().length];

    void add(Count what) {
        counts[what.ordinal()]++;
    }

    long get(Count what) {
        return counts[what.ordinal()];
    }

    /** Name and number, a line each. */
    public String text() {
        StringBuilder text = new StringBuilder();
        for (Count c : Count.values()) {
            text.append(c.name().toLowerCase(java.util.Locale.ROOT)).append(' ').append(get(c)).append('\n');
        }
        return text.toString();
    }

    /** The same on one line, without what is zero. */
    public String line() {
        StringBuilder text = new StringBuilder();
        for (Count c : Count.values()) {
            if (get(c) != 0) {
                text.append(c.name().toLowerCase(java.util.Locale.ROOT)).append('=').append(get(c)).append(' ');
            }
        }
        return text.toString().strip();
    }
}
