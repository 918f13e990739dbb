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
import tallyweir.durable.Found;
import tallyweir.durable.Stamp;
import tallyweir.durable.View;
import tallyweir.ids.JobId;
import tallyweir.ids.SubjectId;
import tallyweir.ids.WorkloadId;

/**
 * Marks in an embedded store. The namespace {@code results} holds for each mark its outcome, or its intent until then;
 * {@code intents} holds the marks of open intents, so that a start need not look through all. A record takes the place of
 * its intent in one batch.
 */
public final class DurableResultStore implements ResultStore {
    /** The namespace of outcomes and intents; it has to refuse at its bound, since nothing in its window may go. */
    public static final String RESULTS = "results";
    /** The namespace of open intents. */
    public static final String INTENTS = "intents";
    /** Set in the kind of an outcome whose result is smaller on the disk: its length, then a frame of Zstandard. */
    private static final int SMALLER = 0x10;

    private static final int RESULT_MOST = 4 << 10;

    private final Durable store;
    private final Committer committer;
    private final Executor back;
    private final Executor reads;
    private final List<Kept> found;
    private final Set<Marks.Guard> without;

    /**
     * @param back runs what is told on the thread that asks
     * @param reads runs what may wait for the disk to be read
     * @param without guards of the marks that are off, for drills only
     */
    public DurableResultStore(
            Durable store, Committer committer, Executor back, Executor reads, Set<Marks.Guard> without)
            throws IOException {
        this.without = without;
        this.store = store;
        this.committer = committer;
        this.back = back;
        this.reads = reads;
        found = new ArrayList<>();
        try (View view = store.view()) {
            for (Iterator<Found> in = view.range(INTENTS, new byte[0], null); in.hasNext(); ) {
                byte[] key = in.next().key();
                Found f = view.get(RESULTS, key);
                Kept k = f == null ? null : decode(key, f);
                if (k != null && k.known() == null) {
                    found.add(k);
                }
            }
        }
    }

    /** The mark of a workload and what stands in Once-Key. */
    public static Mark mark(String workload, String stamp) {
        return new Mark(new WorkloadId(workload), new SubjectId(stamp));
    }

    /** The mark that a key stands for; null for none. */
    static Mark mark(byte[] key) {
        int end = 0;
        while (end < key.length && key[end] != 0) {
            end++;
        }
        return end == key.length
                ? null
                : mark(
                        new String(key, 0, end, StandardCharsets.UTF_8),
                        new String(key, end + 1, key.length - end - 1, StandardCharsets.UTF_8));
    }

    /** The key under which what is known of a mark is kept. */
    public static byte[] key(Mark m) {
        byte[] workload = m.workload().value().getBytes(StandardCharsets.UTF_8);
        byte[] stamp = m.stamp().value().getBytes(StandardCharsets.UTF_8);
        return ByteBuffer.allocate(workload.length + stamp.length + 1)
                .put(workload)
                .put((byte) 0)
                .put(stamp)
                .array();
    }

    /** The value of an outcome. */
    static byte[] encoded(Known known, JobId job, long body, long until, byte[] result) {
        byte[] small = result == null ? null : ResultCompression.compress(result);
        return small == null
                ? value(known.ordinal() + 1, job, body, until, result)
                : value(
                        known.ordinal() + 1 | SMALLER,
                        job,
                        body,
                        until,
                        ByteBuffer.allocate(4 + small.length)
                                .putInt(result.length)
                                .put(small)
                                .array());
    }

    private static byte[] value(int kind, JobId job, long body, long until, byte[] result) {
        byte[] name = job.value().getBytes(StandardCharsets.UTF_8);
        byte[] what = result == null ? new byte[0] : result;
        return ByteBuffer.allocate(19 + name.length + what.length)
                .put((byte) kind)
                .putLong(body)
                .putLong(until)
                .putShort((short) name.length)
                .put(name)
                .put(what)
                .array();
    }

    private static Kept decode(byte[] key, Found f) {
        Mark mark = mark(key);
        if (mark == null || f.value().length < 19) {
            return null;
        }
        ByteBuffer in = ByteBuffer.wrap(f.value());
        int form = in.get();
        int kind = form & ~SMALLER;
        long body = in.getLong();
        long until = in.getLong();
        byte[] job = new byte[Math.min(in.getShort() & 0xffff, in.remaining())];
        in.get(job);
        byte[] result = new byte[in.remaining()];
        in.get(result);
        if ((form & SMALLER) != 0) {
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
        return new Kept(
                mark,
                new JobId(new String(job, StandardCharsets.UTF_8)),
                body,
                known,
                known == Known.GOOD ? result : null,
                Stamp.time(f.stamp()),
                until);
    }

    /** What is kept in a record of the namespace {@link #RESULTS}; null if it is none of ours. */
    public static Kept of(Found f) {
        return decode(f.key(), f);
    }

    @Override
    public boolean knows(Mark mark) {
        return store.contains(RESULTS, key(mark));
    }

    @Override
    public boolean hasRoom(int underWay) {
        return store.room(RESULTS) > (underWay + 1L) * 2 * RESULT_MOST;
    }

    private void write(Batch b, Consumer<Boolean> done) {
        committer.submit(b).whenComplete((nothing, refused) -> back.execute(() -> done.accept(refused == null)));
    }

    @Override
    public void intend(Mark mark, JobId job, long body, long until, Consumer<Boolean> done) {
        byte[] key = key(mark);
        write(
                new Batch()
                        .put(RESULTS, key, value(0, job, body, until, null), until)
                        .put(INTENTS, key, new byte[0], until),
                done);
    }

    @Override
    public void record(
            Mark mark, JobId job, long body, Known known, byte[] result, long until, Consumer<Boolean> done) {
        Batch b = new Batch();
        put(b, mark, job, body, known, result, until);
        write(b.delete(INTENTS, key(mark)), done);
    }

    /** Puts an outcome into a batch, as it is kept. */
    public static void put(Batch b, Mark mark, JobId job, long body, Known known, byte[] result, long until) {
        b.put(RESULTS, key(mark), encoded(known, job, body, until, result), until);
    }

    @Override
    public void withdraw(Mark mark, Consumer<Boolean> done) {
        byte[] key = key(mark);
        write(new Batch().delete(RESULTS, key).delete(INTENTS, key), done);
    }

    @Override
    public void look(Mark mark, Consumer<Kept> then) {
        reads.execute(() -> {
            Kept k;
            try {
                byte[] key = key(mark);
                Found f = store.get(RESULTS, key);
                k = f == null ? null : decode(key, f);
            } catch (IOException unreadable) {
                k = null;
            }
            Kept is = k;
            back.execute(() -> then.accept(is));
        });
    }

    @Override
    public List<Kept> intents() {
        return List.copyOf(found);
    }

    @Override
    public Set<Marks.Guard> without() {
        return without;
    }
}
