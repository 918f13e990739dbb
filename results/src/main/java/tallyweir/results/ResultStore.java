package tallyweir.results;

import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import tallyweir.ids.JobId;

/**
 * Stores the records of idempotency keys across restarts. No method waits for the disk: results are passed to
 * callbacks later, on the caller's thread, in any order. Writes for one key take effect in the order in which they
 * were asked for. Times are tenths of a millisecond since 1970.
 */
public interface ResultStore {
    /** The record of one key: an intent if {@code known} is null, otherwise an outcome. */
    record StoredResult(
            IdempotencyKey key, JobId job, long body, Known known, byte[] result, long writtenAt, long expiresAt) {}

    /** Whether a key has a record; answered from memory. */
    boolean contains(IdempotencyKey key);

    /** Whether there is room for another key, besides the outcomes of this many runs that are still to be written. */
    boolean hasRoom(int pending);

    /** Writes an intent; the callback gets whether it is on the disk. */
    void recordIntent(IdempotencyKey key, JobId job, long body, long expiresAt, Consumer<Boolean> onDone);

    /** Replaces an intent by an outcome; the callback gets whether it is on the disk. */
    void record(
            IdempotencyKey key,
            JobId job,
            long body,
            Known known,
            byte[] result,
            long expiresAt,
            Consumer<Boolean> onDone);

    /** Deletes an intent; the callback gets whether it is gone from the disk. */
    void deleteIntent(IdempotencyKey key, Consumer<Boolean> onDone);

    /** Reads the record of a key; the callback gets null if there is none or it can't be read. */
    void read(IdempotencyKey key, Consumer<StoredResult> onRead);

    /** The intents found when the process started. */
    List<StoredResult> intentsAtStart();

    /** Guards that are switched off: none, except in drills that show what each guard prevents. */
    default Set<IdempotencyTracker.Guard> disabledGuards() {
        return Set.of();
    }
}
