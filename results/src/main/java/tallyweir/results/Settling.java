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
import tallyweir.durable.Found;

/**
 * What a person may change of what is kept, and the record that is kept of it. The outcome that nobody could tell may be
 * settled once somebody has looked where the effect would show; a mark may be forgotten before its window ends. Every
 * change goes to the disk in one batch with who made it and why. What is still open is never touched: the process that
 * asked for the run settles it.
 */
public final class Settling {
    /** The namespace of what people changed. */
    public static final String AUDIT = "audit";

    private static final int TEXT_MOST = 2_000;

    /** What somebody has found out, or wants. */
    public enum As {
        /** It ran, and this is its result: repeats get it. */
        RAN,
        /** It ran, and there is no result, or it ended badly: repeats are errored. */
        RAN_BADLY,
        /** It never ran: the next copy may. */
        NEVER_RAN,
        /** The mark is forgotten whatever became of it: the next copy runs. */
        FORGOTTEN
    }

    private record Rule(BiPredicate<ResultStore.Kept, As> when, String why) {}

    // Gone through in order; the first that fires says why not.
    private static final List<Rule> RULES = List.of(
            new Rule((k, as) -> k == null, "nothing is kept of this mark"),
            new Rule(
                    (k, as) -> k.known() == null,
                    "its run is still open: the process that holds the store settles it, at the"
                            + " latest one longest hard limit after its start"),
            new Rule(
                    (k, as) -> as != As.FORGOTTEN && k.known() != Known.UNKNOWN,
                    "its outcome is known, there is nothing to settle"));

    private Settling() {}

    /** Why a change is not made, null if it is. */
    static String refusal(ResultStore.Kept kept, As as) {
        return RULES.stream()
                .filter(r -> r.when.test(kept, as))
                .map(Rule::why)
                .findFirst()
                .orElse(null);
    }

    /**
     * Makes a change and returns once it is on the disk.
     *
     * @param result of {@link As#RAN}; null otherwise
     * @param by who makes it, 1 to 2,000 characters; likewise why
     * @throws IOException with the reason why it was not made
     */
    public static synchronized void settle(
            Durable store, Committer committer, Mark mark, As as, byte[] result, String by, String why)
            throws IOException {
        if (by.isBlank() || why.isBlank() || by.length() > TEXT_MOST || why.length() > TEXT_MOST) {
            throw new IOException("who and why are needed, of at most " + TEXT_MOST + " characters each");
        }
        byte[] key = DurableResultStore.key(mark);
        Found f = store.get(DurableResultStore.RESULTS, key);
        ResultStore.Kept kept = f == null ? null : DurableResultStore.of(f);
        String refusal = refusal(kept, as);
        if (refusal != null) {
            throw new IOException(refusal);
        }
        Batch b = new Batch();
        switch (as) {
            case RAN ->
                DurableResultStore.put(
                        b,
                        mark,
                        kept.job(),
                        kept.body(),
                        Known.GOOD,
                        result == null ? new byte[0] : result,
                        kept.until());
            case RAN_BADLY -> DurableResultStore.put(b, mark, kept.job(), kept.body(), Known.BAD, null, kept.until());
            default -> b.delete(DurableResultStore.RESULTS, key);
        }
        b.put(AUDIT, free(store, key), String.join("\t", as.name(), by, why).getBytes(StandardCharsets.UTF_8));
        committer.write(b);
    }

    /** A key of the audit by time and mark; of two changes of one mark at one moment the later is a tenth behind. */
    private static byte[] free(Durable store, byte[] mark) {
        byte[] key;
        long at = store.now();
        do {
            key = ByteBuffer.allocate(8 + mark.length).putLong(at++).put(mark).array();
        } while (store.contains(AUDIT, key));
        return key;
    }

    /** What somebody changed, from a record of the namespace {@link #AUDIT}. */
    public record Change(long at, Mark mark, String as, String by, String why) {}

    /** Reads one; null if it is none of ours. */
    public static Change change(Found f) {
        String[] text = new String(f.value(), StandardCharsets.UTF_8).split("\t", 3);
        if (f.key().length < 9 || text.length < 3) {
            return null;
        }
        byte[] key = new byte[f.key().length - 8];
        ByteBuffer in = ByteBuffer.wrap(f.key());
        long at = in.getLong();
        in.get(key);
        Mark mark = DurableResultStore.mark(key);
        return mark == null ? null : new Change(at, mark, text[0], text[1], text[2]);
    }

    /** What a process that holds the store answers at its admin socket: {@code settle WORKLOAD MARK AS RESULT_HEX BY WHY}. */
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
                    DurableResultStore.mark(words.get(0), words.get(1)),
                    as,
                    result,
                    words.get(4),
                    words.get(5));
            line.accept("settled\t" + as);
        });
    }
}
