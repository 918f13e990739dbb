package tallyweir.results;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Iterator;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import tallyweir.durable.Batch;
import tallyweir.durable.Committer;
import tallyweir.durable.Durable;
import tallyweir.durable.Stamp;
import tallyweir.durable.StoredRecord;
import tallyweir.durable.View;
import tallyweir.ids.JobId;
import tallyweir.ids.SubjectId;
import tallyweir.ids.WorkloadId;

/**
 * Stores the records of idempotency keys in an embedded store. The namespace {@link #RESULTS} holds the intent or the
 * outcome of each key. The namespace {@link #INTENTS} holds the keys of open intents, so that a start need not read
 * all records. An outcome replaces its intent in one batch.
 */
public final class DurableResultStore implements ResultStore {
    /** The namespace of outcomes and intents. It must refuse writes when full, since no record may be dropped early. */
    public static final String RESULTS = "results";
    /** The namespace of the keys of open intents. */
    public static final String INTENTS = "intents";
    /** Flag in the kind byte for a compressed result: the original length (4 bytes), then a Zstandard frame. */
    private static final int COMPRESSED_FLAG = 0x10;

    private static final int MAX_RESULT_BYTES = 4 << 10;

    private final Durable store;
    private final Committer committer;
    private final Executor callbackExecutor;
    private final Executor readExecutor;
    private final List<StoredResult> intentsAtStart;
    private final Set<IdempotencyTracker.Guard> disabledGuards;

    /**
     * @param callbackExecutor runs callbacks on the caller's thread
     * @param readExecutor runs reads, which may wait for the disk
     * @param disabledGuards guards that are switched off, for drills only
     */
    public DurableResultStore(
            Durable store,
            Committer committer,
            Executor callbackExecutor,
            Executor readExecutor,
            Set<IdempotencyTracker.Guard> disabledGuards)
            throws IOException {
        this.disabledGuards = disabledGuards;
        this.store = store;
        this.committer = committer;
        this.callbackExecutor = callbackExecutor;
        this.readExecutor = readExecutor;
        intentsAtStart = new ArrayList<>();
        try (View view = store.view()) {
            for (Iterator<StoredRecord> in = view.range(INTENTS, new byte[0], null); in.hasNext(); ) {
                byte[] key = in.next().key();
                StoredRecord f = view.get(RESULTS, key);
                StoredResult k = f == null ? null : decode(key, f);
                if (k != null && k.known() == null) {
                    intentsAtStart.add(k);
                }
            }
        }
    }

    /** The key of a workload and the value of the Once-Key field. */
    public static IdempotencyKey idempotencyKey(String workload, String stamp) {
        return new IdempotencyKey(new WorkloadId(workload), new SubjectId(stamp));
    }

    /** Decodes a key of the store; null if it is malformed. */
    static IdempotencyKey idempotencyKey(byte[] bytes) {
        int end = 0;
        while (end < bytes.length && bytes[end] != 0) {
            end++;
        }
        return end == bytes.length
                ? null
                : idempotencyKey(
                        new String(bytes, 0, end, StandardCharsets.UTF_8),
                        new String(bytes, end + 1, bytes.length - end - 1, StandardCharsets.UTF_8));
    }

    /** Encodes a key for the store: workload, 0, stamp. */
    public static byte[] storeKey(IdempotencyKey key) {
        byte[] workload = key.workload().value().getBytes(StandardCharsets.UTF_8);
        byte[] stamp = key.stamp().value().getBytes(StandardCharsets.UTF_8);
        return ByteBuffer.allocate(workload.length + stamp.length + 1)
                .put(workload)
                .put((byte) 0)
                .put(stamp)
                .array();
    }

    /** Encodes an outcome, with its result compressed if that pays. */
    static byte[] encodeOutcome(Known known, JobId job, long body, long expiresAt, byte[] result) {
        byte[] compressed = result == null ? null : ResultCompression.compress(result);
        return compressed == null
                ? encode(known.ordinal() + 1, job, body, expiresAt, result)
                : encode(
                        known.ordinal() + 1 | COMPRESSED_FLAG,
                        job,
                        body,
                        expiresAt,
                        ByteBuffer.allocate(4 + compressed.length)
                                .putInt(result.length)
                                .put(compressed)
                                .array());
    }

    /** @param kind 0 for an intent, else the ordinal of the outcome plus 1, and the flag for a compressed result */
    private static byte[] encode(int kind, JobId job, long body, long expiresAt, byte[] result) {
        byte[] name = job.value().getBytes(StandardCharsets.UTF_8);
        byte[] content = result == null ? new byte[0] : result;
        return ByteBuffer.allocate(19 + name.length + content.length)
                .put((byte) kind)
                .putLong(body)
                .putLong(expiresAt)
                .putShort((short) name.length)
                .put(name)
                .put(content)
                .array();
    }

    private static StoredResult decode(byte[] storeKey, StoredRecord f) {
        IdempotencyKey key = idempotencyKey(storeKey);
        if (key == null || f.value().length < 19) {
            return null;
        }
        ByteBuffer in = ByteBuffer.wrap(f.value());
        int kindAndFlag = in.get();
        int kind = kindAndFlag & ~COMPRESSED_FLAG;
        long body = in.getLong();
        long expiresAt = in.getLong();
        byte[] job = new byte[Math.min(in.getShort() & 0xffff, in.remaining())];
        in.get(job);
        byte[] result = new byte[in.remaining()];
        in.get(result);
        if ((kindAndFlag & COMPRESSED_FLAG) != 0) {
            result = result.length < 4
                    ? null
                    : ResultCompression.decompress(
                            Arrays.copyOfRange(result, 4, result.length),
                            ByteBuffer.wrap(result).getInt());
            if (result == null) {
                return null;
            }
        }
        Known known = kind == 0 || kind > Known.values().length ? null : Known.values()[kind - 1];
        return new StoredResult(
                key,
                new JobId(new String(job, StandardCharsets.UTF_8)),
                body,
                known,
                known == Known.GOOD ? result : null,
                Stamp.time(f.stamp()),
                expiresAt);
    }

    /** Decodes a record of the namespace {@link #RESULTS}; null if it is malformed. */
    public static StoredResult decode(StoredRecord f) {
        return decode(f.key(), f);
    }

    @Override
    public boolean contains(IdempotencyKey key) {
        return store.contains(RESULTS, storeKey(key));
    }

    @Override
    public boolean hasRoom(int pending) {
        return store.remainingBytes(RESULTS) > (pending + 1L) * 2 * MAX_RESULT_BYTES;
    }

    private void write(Batch batch, Consumer<Boolean> onDone) {
        committer
                .submit(batch)
                .whenComplete((ignored, failure) -> callbackExecutor.execute(() -> onDone.accept(failure == null)));
    }

    @Override
    public void recordIntent(IdempotencyKey key, JobId job, long body, long expiresAt, Consumer<Boolean> onDone) {
        byte[] storeKey = storeKey(key);
        write(
                new Batch()
                        .put(RESULTS, storeKey, encode(0, job, body, expiresAt, null), expiresAt)
                        .put(INTENTS, storeKey, new byte[0], expiresAt),
                onDone);
    }

    @Override
    public void record(
            IdempotencyKey key,
            JobId job,
            long body,
            Known known,
            byte[] result,
            long expiresAt,
            Consumer<Boolean> onDone) {
        Batch batch = new Batch();
        put(batch, key, job, body, known, result, expiresAt);
        write(batch.delete(INTENTS, storeKey(key)), onDone);
    }

    /** Adds an outcome to a batch, encoded as in the store. */
    public static void put(
            Batch batch, IdempotencyKey key, JobId job, long body, Known known, byte[] result, long expiresAt) {
        batch.put(RESULTS, storeKey(key), encodeOutcome(known, job, body, expiresAt, result), expiresAt);
    }

    @Override
    public void deleteIntent(IdempotencyKey key, Consumer<Boolean> onDone) {
        byte[] storeKey = storeKey(key);
        write(new Batch().delete(RESULTS, storeKey).delete(INTENTS, storeKey), onDone);
    }

    @Override
    public void read(IdempotencyKey key, Consumer<StoredResult> onRead) {
        readExecutor.execute(() -> {
            StoredResult k;
            try {
                byte[] storeKey = storeKey(key);
                StoredRecord f = store.get(RESULTS, storeKey);
                k = f == null ? null : decode(storeKey, f);
            } catch (IOException unreadable) {
                k = null;
            }
            StoredResult stored = k;
            callbackExecutor.execute(() -> onRead.accept(stored));
        });
    }

    @Override
    public List<StoredResult> intentsAtStart() {
        return List.copyOf(intentsAtStart);
    }

    @Override
    public Set<IdempotencyTracker.Guard> disabledGuards() {
        return disabledGuards;
    }
}
