package tallyweir.results;

/**
 * The actions that {@link IdempotencyTracker} asks for. Each write and read is answered later by one call of the method named, never
 * within the call itself. Writes for one key take effect in the order in which they were asked for.
 */
public interface IdempotencyActions {
    /** Writes the intent, the record that a run may start; answered by {@link IdempotencyTracker#onIntentRecorded}. */
    void recordIntent(RunId run, IdempotencyKey key, long body, long expiresAt);

    /** Writes the outcome of a run in place of its intent; answered by {@link IdempotencyTracker#onOutcomeRecorded}. */
    void record(RunId run, IdempotencyKey key, long body, Known known, byte[] result, long expiresAt);

    /** Deletes the intent of a run that never started; answered by {@link IdempotencyTracker#onIntentDeleted}. */
    void deleteIntent(RunId run, IdempotencyKey key);

    /**
     * Reads the record of a key; answered by {@link IdempotencyTracker#onRecordRead} or
     * {@link IdempotencyTracker#onReadFailed}.
     */
    void readRecord(IdempotencyKey key);

    /** Passes the run to the kernel. */
    void startRun(RunId run);

    /** Answers a copy. */
    void answer(RunId copy, Known known, byte[] result);

    /** Refuses a copy because its key was used with another body. */
    void refuseOtherBody(RunId copy);

    /** An admitted copy did not start and will not: it may be deferred, and a later copy may run. */
    void deferNotStarted(RunId copy);

    /** No further action will be asked for this run. */
    void release(RunId run);
}
