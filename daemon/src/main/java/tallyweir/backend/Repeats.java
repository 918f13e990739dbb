package tallyweir.backend;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import tallyweir.ids.QueryId;
import tallyweir.ids.SubjectId;
import tallyweir.ids.WorkloadId;

/**
 * Entries by which repeats are recognized, with the results for them; each is removed when its window ends. Runs on the
 * backend's thread; times are in tenths of a millisecond.
 */
final class Repeats {
    private record Key(WorkloadId workload, SubjectId mark) {}

    /** What is known under one key; shared by all queries with that key. */
    static final class Entry {
        private final Key key;
        private QueryId holder;
        private boolean over; // whether the owner's run has ended
        private long endedAt;
        private long until; // a query that arrives later isn't a repeat
        private byte[] result; // null unless the owner's run was good
        private Deadlines.Deadline end;
        private final List<InFlight> waiting = new ArrayList<>(0);

        private long body; // digest of the owner's body

        private Entry(Key key) {
            this.key = key;
        }
    }

    private final Deadlines deadlines;
    private final long shareFor;
    private final Map<Key, Entry> entries = new HashMap<>();

    Repeats(Deadlines deadlines, long shareFor) {
        this.deadlines = deadlines;
        this.shareFor = shareFor;
    }

    /**
     * Whether a stamped query carries the key of an earlier query with another body. It isn't a retry of that query and
     * must not get its result; since the key is already used, it must not run either.
     */
    boolean isOfAnother(InFlight inFlight, SubjectId subject, long arrivedAt) {
        Entry e = entries.get(new Key(inFlight.workload, subject));
        return e != null && !(e.over && arrivedAt > e.until) && e.body != inFlight.bodyDigest();
    }

    /**
     * Finds the query that this one repeats and attaches it to the entry; null if it isn't a repeat. The time of arrival
     * counts, not the time of reading: a repeat that stayed unread until its window had ended once ran a second time.
     */
    QueryId earlier(InFlight inFlight, SubjectId subject, boolean stamped, long arrivedAt, long now) {
        Key key = new Key(inFlight.workload, subject);
        Entry e = entries.get(key);
        if (e != null && e.over && arrivedAt > e.until) {
            drop(e);
            e = null;
        }
        if (e != null && !stamped && e.over && (e.result == null || now - e.endedAt > shareFor)) {
            drop(e);
            e = null;
        }
        inFlight.entry = e == null ? new Entry(key) : e;
        return e == null ? null : e.holder;
    }

    /**
     * Makes the query the owner of its entry.
     *
     * @param windowEndsAt when the window for repeats ends
     * @param maxUnread for a stamped query, how long a repeat that arrived within the window may stay unread; else 0
     */
    void keep(InFlight inFlight, long windowEndsAt, long maxUnread) {
        if (inFlight.entry == null) {
            return;
        }
        Entry e = inFlight.entry;
        e.holder = inFlight.id;
        e.over = false;
        e.result = null;
        e.until = windowEndsAt;
        e.body = inFlight.bodyDigest();
        deadlines.cancel(e.end);
        entries.put(e.key, e);
        e.end = deadlines.set(windowEndsAt + maxUnread, () -> ended(e, maxUnread > 0));
    }

    /** The entry's window has ended. The entry stays while a stamped run goes on: a window can be shorter than a run. */
    private void ended(Entry e, boolean stamped) {
        e.end = null;
        if (e.over || !stamped) {
            drop(e);
        }
    }

    /** Removes the query's entry if the query owns it, so that its key is free again. */
    void forget(InFlight inFlight) {
        if (inFlight.entry != null && inFlight.id.equals(inFlight.entry.holder)) {
            inFlight.entry.over = true;
            drop(inFlight.entry);
        }
    }

    /** A query runs whose entry's owner ended without a result: it becomes the owner that the others wait for. */
    void began(InFlight inFlight) {
        if (inFlight.entry != null && inFlight.entry.over && inFlight.entry.result == null) {
            inFlight.entry.holder = inFlight.id;
            inFlight.entry.over = false;
        }
    }

    /** A run has ended; returns the queries that waited for its result. */
    List<InFlight> ended(InFlight inFlight, byte[] result, long now) {
        Entry e = inFlight.entry;
        if (e == null || !inFlight.id.equals(e.holder)) {
            return List.of();
        }
        e.over = true;
        e.endedAt = now;
        e.result = result;
        if (e.end == null) {
            drop(e);
        }
        List<InFlight> served = List.copyOf(e.waiting);
        e.waiting.clear();
        return served;
    }

    /** Whether the earlier query's run has ended; if not, enqueues this query to wait for it. */
    boolean over(InFlight inFlight) {
        if (inFlight.entry != null && !inFlight.entry.over && inFlight.entry.holder != null) {
            inFlight.entry.waiting.add(inFlight);
            return false;
        }
        return true;
    }

    /** The result retained for the query, null if there is none. */
    byte[] result(InFlight inFlight) {
        return inFlight.entry == null ? null : inFlight.entry.result;
    }

    int size() {
        return entries.size();
    }

    private void drop(Entry e) {
        deadlines.cancel(e.end);
        entries.remove(e.key, e);
    }
}
