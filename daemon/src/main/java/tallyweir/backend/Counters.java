package tallyweir.backend;

import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.function.IntSupplier;
import java.util.function.Supplier;

/**
 * Counts of input, output and answers since the start; printed on request and at exit. Used by the backend's thread
 * only.
 */
public final class Counters {
    /** What is counted. The names are printed, in lower case, and must not change. */
    enum Count {
        CONNECTIONS_ACCEPTED,
        CONNECTIONS_WAITED,
        CONNECTIONS_CLOSED_IDLE,
        CONNECTIONS_CLOSED_BAD,
        CONNECTIONS_CLOSED_ASKED,
        CONNECTIONS_CLOSED_LEAVING,
        CONNECTIONS_CLOSED_UNREAD,
        CONNECTIONS_CLOSED_STUCK,
        CONNECTIONS_DROPPED,
        CONNECTIONS_RESET,
        CONNECTIONS_WRITTEN_TO_AFTER_END,
        BYTES_READ_AFTER_END,
        CONNECTIONS_ENDED,
        CHECKS,
        QUERIES_READ,
        QUERIES_MALFORMED,
        QUERIES_HALF,
        QUERIES_HALF_REFUSED,
        QUERIES_GONE,
        QUERIES_GONE_UNDECIDED,
        QUERIES_ABORTED,
        QUERIES_RUN_BEFORE,
        QUERIES_ON_LAST_CONNECTION,
        ANSWERED_HANDLED,
        ANSWERED_DEFERRED,
        ANSWERED_ERRORED,
        ANSWERED_BY_THE_LAST_GUARD,
        ANSWERS_UNDELIVERABLE,
        RUNS_ASKED,
        RUNS_STOPPED,
        RUNS_GOOD,
        RUNS_BAD,
        RUNS_CUT,
        RUNS_GONE,
        RUNS_OVERDUE,
        RUNS_NOT_DONE,
        CALLS_ASKED,
        CALLS_SENT,
        CALLS_OK,
        CALLS_BUSY,
        CALLS_ERR,
        CALLS_LATE,
        CALLS_VOID,
        CALLS_TIMED_OUT,
        CALLS_BROKEN,
        CALLS_NEVER_SENT,
        KERNEL_LINKS,
        KERNEL_HANDOVERS,
        KERNEL_HANDOVERS_UNCONFIRMED,
        KERNEL_REPLIES_UNCERTAIN,
        KERNEL_NOTICES,
        KERNEL_NOTICES_REPEATED,
        KERNEL_NOTICES_UNKNOWN,
        KERNEL_NOTICES_MISSED,
        GAUGES_READ,
        GAUGES_MISSED,
        STORE_LINKS,
        REPLIES_SPOILT,
        REPLIES_OF_NOTHING,
        REPORTS_SENT,
        PEERS_MISSED,
        CAPPED,
        STOOD_BACK,
        FAULTS,
        MARKS_REPEATED,
        MARKS_OTHER_BODY,
        MARKS_NO_ROOM,
        MARKS_NOT_BEGUN,
        MARKS_SETTLED
    }

    private final long[] counts = new long[Count.values().length];
    private final Map<String, IntSupplier> gauges = new LinkedHashMap<>();
    private final Map<String, Supplier<Map<String, Long>>> sources = new LinkedHashMap<>();

    void add(Count counter) {
        add(counter, 1);
    }

    void add(Count counter, long number) {
        counts[counter.ordinal()] += number;
    }

    /** Adds a gauge, which is read whenever the counters are printed; its name gets the prefix "now_". */
    void addGauge(String name, IntSupplier value) {
        gauges.put(name, value);
    }

    /** Adds figures counted elsewhere, on any thread, to be printed after these; their names get the prefix. */
    public void addSource(String prefix, Supplier<Map<String, Long>> figures) {
        sources.put(prefix, figures);
    }

    /** All counters, gauges and added figures, by name, in the order in which they are printed. */
    public Map<String, Long> all() {
        Map<String, Long> all = new LinkedHashMap<>();
        for (Count c : Count.values()) {
            all.put(c.name().toLowerCase(Locale.ROOT), counts[c.ordinal()]);
        }
        gauges.forEach((name, size) -> all.put("now_" + name, (long) size.getAsInt()));
        sources.forEach((prefix, figures) -> figures.get().forEach((name, number) -> all.put(prefix + name, number)));
        return all;
    }

    /** One line with name and number for each counter. */
    public String text() {
        StringBuilder text = new StringBuilder();
        all().forEach((name, number) ->
                text.append(name).append(' ').append(number).append('\n'));
        return text.toString();
    }

    /** All counters that are not zero, on one line. */
    public String line() {
        StringBuilder text = new StringBuilder();
        all().forEach((name, number) -> text.append(number == 0 ? "" : name + "=" + number + " "));
        return text.toString().strip();
    }
}
