package tallyweir.backend;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import tallyweir.ids.QueryId;
import tallyweir.ids.SubjectId;
import tallyweir.ids.WorkloadId;

/**
 * Entries by which repeats are recognized, with the results for them; each is removed when its window ends. Runs on the
 * backend's thread; times are in tenths of a millisecond.
 */
final class Repeats {
    private record Key(WorkloadId workload, SubjectId subject) {}

    /** What is known under one key; shared by all queries with that key. */
    static final class Entry {
        private final Key key;
        private QueryId owner;
        private boolean ownerEnded; // whether the owner's run has ended
        private long endedAt;
        private long windowEndsAt; // a query that arrives later isn't a repeat
        private byte[] result; // null unless the owner's run was good
        private Deadlines.Deadline expiry;
        private final Set<InFlight> waiting = new LinkedHashSet<>(0);

        private long bodyDigest; // digest of the owner's body

        private Entry(Key key) {
            this.key = key;
        }
    }

    private final Deadlines deadlines;
    private final long shareDuration;
    private final Map<Key, Entry> entries = new HashMap<>();
    private int waitingCount; // of all entries

    Repeats(Deadlines deadlines, long shareFor) {
        this.deadlines = deadlines;
        this.shareDuration = shareFor;
    }

    /**
     * Whether a stamped query carries the key of an earlier query with another body. It isn't a retry of that query and
     * must not get its result; since the key is already used, it must not run either.
     */
    boolean hasConflictingBody(InFlight inFlight, SubjectId subject, long arrivedAt) {
        Entry e = entries.get(new Key(inFlight.workload, subject));
        return e != null && !(e.ownerEnded && arrivedAt > e.windowEndsAt) && e.bodyDigest != inFlight.bodyDigest();
    }

    /**
     * Finds the query that this one repeats and attaches it to the entry; null if it isn't a repeat. The time of arrival
     * counts, not the time of reading: a repeat that stayed unread until its window had ended once ran a second time.
     */
    QueryId findEarlier(InFlight inFlight, SubjectId subject, boolean stamped, long arrivedAt, long now) {
        Key key = new Key(inFlight.workload, subject);
        Entry e = entries.get(key);
        if (e != null && e.ownerEnded && arrivedAt > e.windowEndsAt) {
            remove(e);
            e = null;
        }
        if (e != null && !stamped && e.ownerEnded && (e.result == null || now - e.endedAt > shareDuration)) {
            remove(e);
            e = null;
        }
        inFlight.repeatEntry = e == null ? new Entry(key) : e;
        return e == null ? null : e.owner;
    }

    /**
     * Makes the query the owner of its entry.
     *
     * @param windowEndsAt when the window for repeats ends
     * @param maxUnread for a stamped query, how long a repeat that arrived within the window may stay unread; else 0
     */
    void retain(InFlight inFlight, long windowEndsAt, long maxUnread) {
        if (inFlight.repeatEntry == null) {
            return;
        }
        Entry e = inFlight.repeatEntry;
        e.owner = inFlight.id;
        e.ownerEnded = false;
        e.result = null;
        e.windowEndsAt = windowEndsAt;
        e.bodyDigest = inFlight.bodyDigest();
        deadlines.cancel(e.expiry);
        entries.put(e.key, e);
        e.expiry = deadlines.set(windowEndsAt + maxUnread, () -> ended(e, maxUnread > 0));
    }

    /** The entry's window has ended. The entry stays while a stamped run goes on: a window can be shorter than a run. */
    private void ended(Entry e, boolean stamped) {
        e.expiry = null;
        if (e.ownerEnded || !stamped) {
            remove(e);
        }
    }

    /** Removes the query's entry if the query owns it, so that its key is free again. */
    void forget(InFlight inFlight) {
        if (inFlight.repeatEntry != null && inFlight.id.equals(inFlight.repeatEntry.owner)) {
            inFlight.repeatEntry.ownerEnded = true;
            remove(inFlight.repeatEntry);
        }
    }

    /** A query runs whose entry's owner ended without a result: it becomes the owner that the others wait for. */
    void runStarted(InFlight inFlight) {
        if (inFlight.repeatEntry != null && inFlight.repeatEntry.ownerEnded && inFlight.repeatEntry.result == null) {
            inFlight.repeatEntry.owner = inFlight.id;
            inFlight.repeatEntry.ownerEnded = false;
        }
    }

    /** Removes and returns the queries that wait for the result of this query's run. */
    List<InFlight> takeWaiting(InFlight inFlight) {
        Entry e = inFlight.repeatEntry;
        if (e == null || !inFlight.id.equals(e.owner)) {
            return List.of();
        }
        List<InFlight> taken = List.copyOf(e.waiting);
        e.waiting.clear();
        waitingCount -= taken.size();
        return taken;
    }

    /** A run has ended; returns the queries that waited for its result. */
    List<InFlight> ended(InFlight inFlight, byte[] result, long now) {
        Entry e = inFlight.repeatEntry;
        if (e == null || !inFlight.id.equals(e.owner)) {
            return List.of();
        }
        e.ownerEnded = true;
        e.endedAt = now;
        e.result = result;
        if (e.expiry == null) {
            remove(e);
        }
        return takeWaiting(inFlight);
    }

    /** Whether the earlier query's run has ended; if not, enqueues this query to wait for it. */
    boolean endedOrEnqueue(InFlight inFlight) {
        if (inFlight.repeatEntry != null && !inFlight.repeatEntry.ownerEnded && inFlight.repeatEntry.owner != null) {
            waitingCount += inFlight.repeatEntry.waiting.add(inFlight) ? 1 : 0;
            return false;
        }
        return true;
    }

    /** The query has ended and waits no longer: repeats that come and go while a run lasts must not pile up. */
    void stopWaiting(InFlight inFlight) {
        if (inFlight.repeatEntry != null && inFlight.repeatEntry.waiting.remove(inFlight)) {
            waitingCount--;
        }
    }

    /** How many queries wait for the run that they repeat. */
    int waitingCount() {
        return waitingCount;
    }

    /** The result retained for the query, null if there is none. */
    byte[] result(InFlight inFlight) {
        return inFlight.repeatEntry == null ? null : inFlight.repeatEntry.result;
    }

    int size() {
        return entries.size();
    }

    private void remove(Entry e) {
        deadlines.cancel(e.expiry);
        entries.remove(e.key, e);
    }
}
