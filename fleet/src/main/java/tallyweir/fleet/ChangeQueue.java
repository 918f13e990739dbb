package tallyweir.fleet;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import tallyweir.fleet.table.Change;
import tallyweir.fleet.table.Key;

/** Changes of entries that wait until the revision that is open has been decided, oldest first. */
final class ChangeQueue {
    /** Changes that may wait; more are turned down. */
    static final int WAITING_MOST = 1_000;

    /** Parts of a batch that was turned down, each to be tried by itself before anything else. */
    private final ArrayDeque<List<ChangeRecord>> retries = new ArrayDeque<>();

    private final ArrayDeque<ChangeRecord> waiting = new ArrayDeque<>();
    private final Map<Key, ChangeRecord> byKey = new HashMap<>();

    boolean isEmpty() {
        return retries.isEmpty() && waiting.isEmpty();
    }

    boolean isFull() {
        return size() >= WAITING_MOST;
    }

    int size() {
        return retries.stream().mapToInt(List::size).sum() + waiting.size();
    }

    /** All that wait, in the order in which they are taken up. */
    List<ChangeRecord> all() {
        List<ChangeRecord> all = new ArrayList<>();
        retries.forEach(all::addAll);
        all.addAll(waiting);
        return all;
    }

    /** The one that waits and changes the entry of a key. */
    Optional<ChangeRecord> touching(Key key) {
        return Optional.ofNullable(byKey.get(key));
    }

    void add(ChangeRecord record) {
        waiting.add(record);
        index(record);
    }

    /** Puts a batch that was turned down as a whole back in two halves, each to be tried by itself. */
    void split(List<ChangeRecord> batch) {
        int half = batch.size() / 2;
        batch.forEach(ChangeRecord::waits);
        retry(batch.subList(half, batch.size()));
        retry(batch.subList(0, half));
    }

    private void retry(List<ChangeRecord> batch) {
        retries.addFirst(List.copyOf(batch));
        batch.forEach(this::index);
    }

    /** Takes out what is to go into one revision together: those next in turn that are forced alike. */
    List<ChangeRecord> takeBatch() {
        List<ChangeRecord> batch = retries.isEmpty() ? takeWaiting() : retries.pollFirst();
        for (ChangeRecord record : batch) {
            record.changes().forEach(change -> byKey.remove(change.key(), record));
        }
        return batch;
    }

    private List<ChangeRecord> takeWaiting() {
        List<ChangeRecord> batch = new ArrayList<>();
        boolean forced = waiting.getFirst().forced();
        while (!waiting.isEmpty() && waiting.getFirst().forced() == forced) {
            batch.add(waiting.pollFirst());
        }
        return batch;
    }

    private void index(ChangeRecord record) {
        for (Change change : record.changes()) {
            byKey.put(change.key(), record);
        }
    }

    // ---- for snapshots

    /** Hands out each part of a batch that is to be tried by itself. */
    void forEachRetry(Consumer<List<ChangeRecord>> to) {
        retries.forEach(to);
    }

    /** Those that came while a revision was open. */
    List<ChangeRecord> waiting() {
        return List.copyOf(waiting);
    }

    /** Puts back a part of a batch that was saved; they come in the order in which they are to be tried. */
    void restoreRetry(List<ChangeRecord> batch) {
        retries.addLast(List.copyOf(batch));
        batch.forEach(this::index);
    }
}
