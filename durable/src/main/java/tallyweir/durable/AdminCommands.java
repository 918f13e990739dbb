package tallyweir.durable;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.HexFormat;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongConsumer;

/** The commands about the store that a process which has one open answers on its {@link AdminSocket}. */
public final class AdminCommands {
    private static final String ABSENT = "-";
    private static final long POLL_INTERVAL_MS = 20;

    private final Durable store;
    private final StepTimes times;

    private AdminCommands(Durable store, StepTimes times) {
        this.store = store;
        this.times = times;
    }

    /** The commands by name, which is the first word of a request. The map may be extended by the caller. */
    public static Map<String, AdminSocket.Command> of(Durable store, StepTimes times) {
        AdminCommands handlers = new AdminCommands(store, times);
        Map<String, AdminSocket.Command> all = new LinkedHashMap<>();
        all.put("info", handlers::info);
        all.put("get", handlers::get);
        all.put("list", handlers::list);
        all.put("backup", handlers::backup);
        all.put("verify", handlers::verify);
        return all;
    }

    private static void requireWordCount(List<String> words, int count) throws IOException {
        if (words.size() != count) {
            throw new IOException(count + " words are needed, not " + words.size());
        }
    }

    /**
     * {@code info}: one line for each value, its name and the value separated by a tab. Names of nested values are joined
     * with dots.
     */
    private void info(List<String> words, Consumer<String> line, LongConsumer progress) throws IOException {
        requireWordCount(words, 0);
        flatten("", store.info(), line);
        flatten("figures", store.figures().toMap(), line);
        flatten("times", times.toMap(System.nanoTime()), line);
    }

    private static void flatten(String prefix, Object value, Consumer<String> line) {
        if (value instanceof Map<?, ?> map) {
            map.forEach((k, v) -> flatten(prefix.isEmpty() ? k.toString() : prefix + "." + k, v, line));
        } else if (value instanceof List<?> list) {
            for (int i = 0; i < list.size(); i++) {
                flatten(prefix + "." + i, list.get(i), line);
            }
        } else {
            line.accept(prefix + "\t" + value);
        }
    }

    /** A record as a line of the admin socket: key, stamp, expiry and value separated by tabs, bytes in hexadecimal. */
    static String formatRecord(StoredRecord f) {
        HexFormat hex = HexFormat.of();
        return hex.formatHex(f.key()) + "\t" + f.stamp() + "\t" + f.expiresAt() + "\t" + hex.formatHex(f.value());
    }

    /** Parses a record from a line of the admin socket; throws an unchecked exception if it is malformed. */
    public static StoredRecord parseRecord(String line) {
        String[] w = line.split("\t", -1);
        return new StoredRecord(
                HexFormat.of().parseHex(w[0]),
                HexFormat.of().parseHex(w[3]),
                Long.parseLong(w[1]),
                Long.parseLong(w[2]));
    }

    private static byte[] parseKey(String hex) throws IOException {
        try {
            return hex.equals(ABSENT) ? null : HexFormat.of().parseHex(hex);
        } catch (IllegalArgumentException e) {
            throw new IOException("'" + hex + "' is not hexadecimal");
        }
    }

    private static void requireNamespace(View view, String namespace) throws IOException {
        if (!view.namespaces().contains(namespace)) {
            throw new IOException("there is no namespace " + namespace + ": there are " + view.namespaces());
        }
    }

    /** {@code get NAMESPACE KEY}: the record as one line, or no line if there is none. */
    private void get(List<String> words, Consumer<String> line, LongConsumer progress) throws IOException {
        requireWordCount(words, 2);
        try (View view = store.view()) {
            requireNamespace(view, words.get(0));
            StoredRecord f = view.get(words.get(0), parseKey(words.get(1)));
            if (f != null) {
                line.accept(formatRecord(f));
            }
        }
    }

    /**
     * {@code list NAMESPACE FROM TO SINCE UNTIL LIMIT}: records with keys from {@code FROM} (inclusive) to {@code TO}
     * (exclusive), or, if a time is given, those written from {@code SINCE} (inclusive) to {@code UNTIL} (exclusive), in
     * tenths of a millisecond since 1970; at most {@code LIMIT} of them. {@code -} leaves a bound open.
     */
    private void list(List<String> words, Consumer<String> line, LongConsumer progress) throws IOException {
        requireWordCount(words, 6);
        long since = parseNumber(words.get(3), 0);
        long until = parseNumber(words.get(4), Long.MAX_VALUE);
        long limit = parseNumber(words.get(5), Long.MAX_VALUE);
        boolean byTime = since > 0 || until < Long.MAX_VALUE;
        byte[] from = parseKey(words.get(1));
        try (View view = store.view()) {
            requireNamespace(view, words.get(0));
            Iterator<StoredRecord> in = byTime
                    ? view.writtenBetween(words.get(0), since, Math.min(until, Stamp.MAX_TIME_TENTHS_MS))
                    : view.range(words.get(0), from == null ? new byte[0] : from, parseKey(words.get(2)));
            for (long n = 0; in.hasNext() && n < limit; n++) {
                line.accept(formatRecord(in.next()));
            }
        } catch (UncheckedIOException e) {
            if (e.getCause() instanceof StoreRefusedException r) {
                throw r;
            }
            throw e;
        }
    }

    private static long parseNumber(String text, long absent) throws IOException {
        try {
            return text.equals(ABSENT) ? absent : Long.parseLong(text);
        } catch (NumberFormatException e) {
            throw new IOException("'" + text + "' is not a number");
        }
    }

    /** {@code backup DIRECTORY}: writes a backup there; one line with the records copied, one with the bytes of each copy. */
    private void backup(List<String> words, Consumer<String> line, LongConsumer progress) throws IOException {
        requireWordCount(words, 1);
        Backup.BackupResult made = Backup.make(store, Path.of(words.get(0)), progress);
        line.accept("records\t" + made.records());
        line.accept("bytes_of_each_copy\t" + made.bytes());
    }

    /**
     * {@code verify}: waits for one complete pass of the scrub, which compares both copies of every frame at the upkeep rate
     * and repairs what is damaged, then reports what was found in the meantime.
     */
    private void verify(List<String> words, Consumer<String> line, LongConsumer progress) throws IOException {
        requireWordCount(words, 0);
        StoreCounters f = store.figures();
        long repaired = f.get(StoreCounters.Counter.REPAIRED);
        long unrepaired = f.get(StoreCounters.Counter.UNREPAIRED);
        long lost = f.get(StoreCounters.Counter.LOST_FRAMES);
        long bytes = f.get(StoreCounters.Counter.SCRUBBED_BYTES);
        long until = store.requestScrub();
        try {
            while (f.get(StoreCounters.Counter.SCRUBS) < until) {
                TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MS);
                progress.accept(f.get(StoreCounters.Counter.SCRUBBED_BYTES) - bytes);
                if (store.isClosed()) {
                    throw new StoreRefusedException(
                            StoreRefusedException.Cause.CLOSED, "the store was closed before all was compared");
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new StoreRefusedException(StoreRefusedException.Cause.CLOSED, "the process is ending", e);
        }
        line.accept("repaired\t" + (f.get(StoreCounters.Counter.REPAIRED) - repaired));
        line.accept("unrepaired\t" + (f.get(StoreCounters.Counter.UNREPAIRED) - unrepaired));
        line.accept("damaged_in_both_copies\t" + (f.get(StoreCounters.Counter.LOST_FRAMES) - lost));
        line.accept("compared_bytes\t" + (f.get(StoreCounters.Counter.SCRUBBED_BYTES) - bytes));
    }
}
