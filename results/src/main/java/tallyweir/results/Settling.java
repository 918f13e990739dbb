package tallyweir.results;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.function.BiPredicate;
import tallyweir.durable.AdminSocket;
import tallyweir.durable.Batch;
import tallyweir.durable.Committer;
import tallyweir.durable.Durable;
import tallyweir.durable.StoredRecord;

/**
 * Changes that an operator may make to stored records, and their audit trail. An unknown outcome may be settled once
 * somebody has checked whether the effect took place; a key may be forgotten before its window ends. Each change is
 * written in one batch with the operator's name and reason. A run that is still open is never changed: the process
 * that started it settles it.
 */
public final class Settling {
    /** The namespace of the audit trail. */
    public static final String AUDIT = "audit";

    private static final int MAX_TEXT_CHARS = 2_000;

    /** The change to make: what was found out about the run, or that its key is to be forgotten. */
    public enum As {
        /** It ran with the given result, which repeats get. */
        RAN,
        /** It ran but failed or has no result: repeats are errored. */
        RAN_BADLY,
        /** It never ran: the next copy may run. */
        NEVER_RAN,
        /** The key is forgotten whatever the outcome: the next copy runs. */
        FORGOTTEN
    }

    private record Rule(BiPredicate<ResultStore.StoredResult, As> condition, String reason) {}

    // Evaluated in order; the first rule that matches gives the reason for the refusal.
    private static final List<Rule> RULES = List.of(
            new Rule((k, as) -> k == null, "there is no record of this key"),
            new Rule(
                    (k, as) -> k.known() == null,
                    "its run is still open: the process that has the store open settles it, at the"
                            + " latest one maximum hard limit after its start"),
            new Rule(
                    (k, as) -> as != As.FORGOTTEN && k.known() != Known.UNKNOWN,
                    "its outcome is known, there is nothing to settle"));

    private Settling() {}

    /** Returns the reason why a change is refused; null if it is allowed. */
    static String refusal(ResultStore.StoredResult kept, As as) {
        return RULES.stream()
                .filter(r -> r.condition.test(kept, as))
                .map(Rule::reason)
                .findFirst()
                .orElse(null);
    }

    /**
     * Makes a change, and returns once it is on the disk.
     *
     * @param result of {@link As#RAN}; null otherwise
     * @param operator who makes the change, 1 to 2,000 characters
     * @param reason for the change, 1 to 2,000 characters
     * @throws IOException with the reason if the change is refused
     */
    public static synchronized void settle(
            Durable store,
            Committer committer,
            IdempotencyKey key,
            As as,
            byte[] result,
            String operator,
            String reason)
            throws IOException {
        if (operator.isBlank()
                || reason.isBlank()
                || operator.length() > MAX_TEXT_CHARS
                || reason.length() > MAX_TEXT_CHARS) {
            throw new IOException(
                    "an operator and a reason are required, of at most " + MAX_TEXT_CHARS + " characters each");
        }
        byte[] storeKey = DurableResultStore.storeKey(key);
        StoredRecord found = store.get(DurableResultStore.RESULTS, storeKey);
        ResultStore.StoredResult kept = found == null ? null : DurableResultStore.decode(found);
        String refusal = refusal(kept, as);
        if (refusal != null) {
            throw new IOException(refusal);
        }
        Batch batch = new Batch();
        switch (as) {
            case RAN ->
                DurableResultStore.put(
                        batch,
                        key,
                        kept.job(),
                        kept.body(),
                        Known.GOOD,
                        result == null ? new byte[0] : result,
                        kept.expiresAt());
            case RAN_BADLY ->
                DurableResultStore.put(batch, key, kept.job(), kept.body(), Known.BAD, null, kept.expiresAt());
            default -> batch.delete(DurableResultStore.RESULTS, storeKey);
        }
        batch.put(
                AUDIT,
                newAuditKey(store, storeKey),
                String.join("\t", as.name(), operator, reason).getBytes(StandardCharsets.UTF_8));
        committer.write(batch);
    }

    /**
     * A free audit key, made of time and key. A second change of a key at the same time is dated a tenth of a
     * millisecond later.
     */
    private static byte[] newAuditKey(Durable store, byte[] storeKey) {
        byte[] key;
        long at = store.now();
        do {
            key = ByteBuffer.allocate(8 + storeKey.length)
                    .putLong(at++)
                    .put(storeKey)
                    .array();
        } while (store.contains(AUDIT, key));
        return key;
    }

    /** A change as recorded in the namespace {@link #AUDIT}; its time is tenths of a millisecond since 1970. */
    public record Change(long changedAt, IdempotencyKey key, String as, String operator, String reason) {}

    /** Decodes a record of the namespace {@link #AUDIT}; null if it is malformed. */
    public static Change change(StoredRecord f) {
        String[] text = new String(f.value(), StandardCharsets.UTF_8).split("\t", 3);
        if (f.key().length < 9 || text.length < 3) {
            return null;
        }
        byte[] storeKey = new byte[f.key().length - 8];
        ByteBuffer in = ByteBuffer.wrap(f.key());
        long at = in.getLong();
        in.get(storeKey);
        IdempotencyKey key = DurableResultStore.idempotencyKey(storeKey);
        return key == null ? null : new Change(at, key, text[0], text[1], text[2]);
    }

    /**
     * The command that a process with an open store accepts on its admin socket: {@code settle WORKLOAD KEY AS
     * RESULT_HEX OPERATOR REASON}, with {@code -} for no result.
     */
    public static Map<String, AdminSocket.Command> commands(Durable store, Committer committer) {
        return Map.of("settle", (words, line, progress) -> {
            if (words.size() != 6) {
                throw new IOException("6 words are needed, not " + words.size());
            }
            As as;
            byte[] result;
            try {
                as = As.valueOf(words.get(2));
                result = words.get(3).equals("-") ? null : HexFormat.of().parseHex(words.get(3));
            } catch (IllegalArgumentException e) {
                throw new IOException(e.getMessage());
            }
            settle(
                    store,
                    committer,
                    DurableResultStore.idempotencyKey(words.get(0), words.get(1)),
                    as,
                    result,
                    words.get(4),
                    words.get(5));
            line.accept("settled\t" + as);
        });
    }
}
