package tallyweir.backend;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import tallyweir.ids.QueryId;
import tallyweir.ids.SubjectId;
import tallyweir.ids.WorkloadId;

/** The entries by which repeats are known, with results; each is given back at the end of its time. */
final class Repeats {
    private record Key(WorkloadId workload, SubjectId mark) {}

    static final class Entry {
        private final Key key;
        private QueryId holder;
        private boolean over; // the holder's run has ended
        private long endedAt;
        private long until; // what arrives later repeats nothing
        private byte[] result; // null unless that run was good
        private Deadlines.Deadline end;
        private final List<InFlight> waiting = new ArrayList<>(0);

        private long body; // its digest

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
     * Whether a stamped query bears the mark of another one that is kept, which had another body. It is no try of that one and
     * must not have its result; that it came under a mark already used says that nothing of it may run either.
     */
    boolean isOfAnother(InFlight t, SubjectId mark, long arrived) {
        Entry e = entries.get(new Key(t.workload, mark));
        return e != null && !(e.over && arrived > e.until) && e.body != t.bodyDigest();
    }

    /**
     * Finds what a query of this mark repeats and ties it to the entry; null if it repeats nothing. When it arrived
     * counts, not when it is read: a repeat that lay unread while its window ended once ran a second time.
     */
    QueryId earlier(InFlight t, SubjectId mark, boolean stamped, long arrived, long now) {
        Key key = new Key(t.workload, mark);
        Entry e = entries.get(key);
        if (e != null && e.over && arrived > e.until) {
            drop(e);
            e = null;
        }
        if (e != null && !stamped && e.over && (e.result == null || now - e.endedAt > shareFor)) {
            drop(e);
            e = null;
        }
        t.entry = e == null ? new Entry(key) : e;
        return e == null ? null : e.holder;
    }

    /** @param unreadMost for how long a stamped repeat that arrived before may lie unread and still be run, else 0 */
    void keep(InFlight t, long until, long unreadMost) {
        if (t.entry == null) {
            return;
        }
        Entry e = t.entry;
        e.holder = t.id;
        e.over = false;
        e.result = null;
        e.until = until;
        e.body = t.bodyDigest();
        deadlines.cancel(e.end);
        entries.put(e.key, e);
        e.end = deadlines.set(until + unreadMost, () -> ended(e, unreadMost > 0));
    }

    /** While a stamped run goes on it stays: windows can be shorter than a run. */
    private void ended(Entry e, boolean stamped) {
        e.end = null;
        if (e.over || !stamped) {
            drop(e);
        }
    }

    void forget(InFlight t) {
        if (t.entry != null && t.id.equals(t.entry.holder)) {
            t.entry.over = true;
            drop(t.entry);
        }
    }

    /** The heir of a query that came to nothing runs: what waits for a result waits for this one's. */
    void began(InFlight t) {
        if (t.entry != null && t.entry.over && t.entry.result == null) {
            t.entry.holder = t.id;
            t.entry.over = false;
        }
    }

    /** A run has ended; those that waited for its result are returned. */
    List<InFlight> ended(InFlight t, byte[] result, long now) {
        Entry e = t.entry;
        if (e == null || !t.id.equals(e.holder)) {
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

    /** Whether the forerunner's run is over; else the query waits for it. */
    boolean over(InFlight t) {
        if (t.entry != null && !t.entry.over && t.entry.holder != null) {
            t.entry.waiting.add(t);
            return false;
        }
        return true;
    }

    byte[] result(InFlight t) {
        return t.entry == null ? null : t.entry.result;
    }

    int size() {
        return entries.size();
    }

    private void drop(Entry e) {
        deadlines.cancel(e.end);
        entries.remove(e.key, e);
    }
}
