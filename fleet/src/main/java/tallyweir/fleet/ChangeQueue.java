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

/** Changes of entries that wait until the proposed revision has been decided, oldest first. */
final class ChangeQueue {
    /** Maximum number of waiting changes; further ones are rejected. */
    static final int MAX_WAITING = 1_000;

    /** Parts of rejected batches; each is proposed by itself, before anything that waits. */
    private final ArrayDeque<List<ChangeRecord>> retries = new ArrayDeque<>();

    private final ArrayDeque<ChangeRecord> waiting = new ArrayDeque<>();
    private final Map<Key, ChangeRecord> byKey = new HashMap<>();

    boolean isEmpty() {
        return retries.isEmpty() && waiting.isEmpty();
    }

    boolean isFull() {
        return size() >= MAX_WAITING;
    }

    int size() {
        return retries.stream().mapToInt(List::size).sum() + waiting.size();
    }

    /** All waiting changes in the order in which they will be proposed. */
    List<ChangeRecord> all() {
        List<ChangeRecord> all = new ArrayList<>();
        retries.forEach(all::addAll);
        all.addAll(waiting);
        return all;
    }

    /** The waiting change of the entry with this key. */
    Optional<ChangeRecord> findByKey(Key key) {
        return Optional.ofNullable(byKey.get(key));
    }

    void add(ChangeRecord record) {
        waiting.add(record);
        index(record);
    }

    /** Puts a batch that was rejected as a whole back as two halves, each to be proposed by itself. */
    void requeueInHalves(List<ChangeRecord> batch) {
        int half = batch.size() / 2;
        batch.forEach(ChangeRecord::markWaiting);
        retry(batch.subList(half, batch.size()));
        retry(batch.subList(0, half));
    }

    private void retry(List<ChangeRecord> batch) {
        retries.addFirst(List.copyOf(batch));
        batch.forEach(this::index);
    }

    /**
     * Removes the changes that form the next revision: the first retry, or the first waiting ones with an equal {@code
     * forced} flag.
     */
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

    /** Passes on each part of a rejected batch that is to be proposed by itself. */
    void forEachRetry(Consumer<List<ChangeRecord>> consumer) {
        retries.forEach(consumer);
    }

    /** The changes that arrived while a revision was proposed, without the retries. */
    List<ChangeRecord> waiting() {
        return List.copyOf(waiting);
    }

    /** Restores a saved part of a rejected batch; called in the order in which the parts are to be proposed. */
    void restoreRetry(List<ChangeRecord> batch) {
        retries.addLast(List.copyOf(batch));
        batch.forEach(this::index);
    }
}
