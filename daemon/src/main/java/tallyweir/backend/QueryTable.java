package tallyweir.backend;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import tallyweir.ids.JobId;
import tallyweir.ids.QueryId;

/**
 * The queries in flight, by the id that the decisions know them by and by the id that they have on the links. Runs on the
 * backend's thread.
 */
final class QueryTable {
    private static final int SLOT_BITS = 20; // the low bits of a query's id are its slot
    private static final long SLOT_MASK = (1 << SLOT_BITS) - 1;

    private final Slots<InFlight> slots = new Slots<>();
    private final Map<JobId, InFlight> byJob = new HashMap<>();
    private long lastSerial;

    /** Adds a query and gives it its id. */
    void add(InFlight inFlight) {
        inFlight.id = new QueryId(++lastSerial << SLOT_BITS | slots.add(inFlight));
        byJob.put(inFlight.job, inFlight);
    }

    void remove(InFlight inFlight) {
        byJob.remove(inFlight.job);
        slots.free(slot(inFlight.id));
    }

    private static int slot(QueryId id) {
        return (int) (id.value() & SLOT_MASK);
    }

    /** The query with this id, null if it is not in flight any more. */
    InFlight find(QueryId id) {
        InFlight inFlight = slots.get(slot(id));
        return inFlight != null && inFlight.id.equals(id) ? inFlight : null;
    }

    /** The query with this id on the links, null if there is none in flight. */
    InFlight find(JobId job) {
        return byJob.get(job);
    }

    /** The queries that have been handed to the kernel and whose runs have not ended. */
    List<InFlight> running() {
        return slots.all().stream().filter(inFlight -> inFlight.running).toList();
    }

    int size() {
        return slots.size();
    }
}
