package tallyweir.results;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import tallyweir.rules.Rules;

/**
 * Tracks the runs of queries that have an idempotency key: when their intents and outcomes are written, and how
 * repeats are answered. Has no access to the disk, the kernel or the clock: each event is a call, and actions are
 * carried out through {@link Keeping}. After each event the rules listed in the constructor are evaluated in order
 * until none applies. Not thread-safe.
 *
 * <p>Invariants: a run starts only after its intent is on the disk; a result is sent only after it is on the disk;
 * for one key another run starts only if every earlier one is proven not to have started. An entry is in memory only
 * while something is under way for its key. After that the record is on the disk only, and is read when a repeat
 * comes.
 */
public final class Marks {
    /**
     * The guards against a second run or a differing answer after a fault. All are on, except in checks that show
     * what each one prevents.
     */
    public enum Guard {
        /** No run starts before its intent is on the disk. */
        INTENT,
        /** No result is sent before it is on the disk. */
        ORDER,
        /** The intent of a run that may have started is never deleted. */
        PROOF,
        /** An intent found at startup gets a proven outcome, or the outcome UNKNOWN. */
        RESTART,
        /** A key that has a record on the disk is not new. */
        WINDOW
    }

    private enum Stage {
        LOOKING,
        INTENDING,
        READY,
        BEGUN,
        RECORDING,
        KEPT,
        LOST,
        WITHDRAWING,
        GONE
    }

    private record Asker(RunId copy, long body) {}

    private static final class Entry {
        private final Mark mark;
        private long body;
        private final long until;
        private final RunId holder;
        private Stage stage;
        private boolean wanted; // the scheduler has asked for its start
        private boolean given; // the scheduler has given it up
        private boolean over; // the run has ended, or its end can't be determined
        private boolean done; // the current write or read has finished,
        private boolean failed; // and failed
        private boolean dropped; // removed from memory
        private boolean anyBody; // the body is unknown, so it is not compared
        private boolean outlived; // its window has ended
        private Known known;
        private byte[] result;
        private final List<Asker> asking = new ArrayList<>(1);

        private Entry(Mark key, long body, long expiresAt, RunId run, Stage stage) {
            this.mark = key;
            this.body = body;
            this.until = expiresAt;
            this.holder = run;
            this.stage = stage;
        }
    }

    private final Keeping out;
    private final int most;
    private final Set<Guard> without;
    private final Map<Mark, Entry> entries = new HashMap<>();
    private final Map<RunId, Entry> held = new HashMap<>();
    private final Set<Mark> passedOver = new HashSet<>(); // used only when a check has switched off a guard
    private final Rules rules = new Rules();
    private Entry e; // the entry that the current event is about

    /**
     * @param maxEntries keys in memory at once, 1 or more; beyond that new keys are refused
     * @param without guards that are switched off, for checks only
     */
    public Marks(Keeping out, int maxEntries, Set<Guard> without) {
        this.out = out;
        this.most = maxEntries;
        this.without = without.isEmpty() ? EnumSet.noneOf(Guard.class) : EnumSet.copyOf(without);
        // Order: runs that must not start, runs that may, runs that have ended, callers that wait for an outcome.
        rules.add(() -> e.stage == Stage.INTENDING && e.done && e.failed, this::neverBegan);
        rules.add(() -> (e.stage == Stage.INTENDING && e.done || e.stage == Stage.READY) && e.given, this::withdraw);
        rules.add(() -> e.stage == Stage.BEGUN && e.given && !has(Guard.PROOF), this::withdraw);
        rules.add(
                () -> e.stage == Stage.INTENDING && (e.done || e.wanted && !has(Guard.INTENT)),
                () -> e.stage = Stage.READY);
        rules.add(() -> e.stage == Stage.READY && e.wanted, this::begin);
        rules.add(() -> e.stage == Stage.BEGUN && e.over, this::record);
        rules.add(() -> e.stage == Stage.RECORDING && !e.asking.isEmpty() && !has(Guard.ORDER), this::answer);
        rules.add(() -> e.stage == Stage.RECORDING && e.done, () -> e.stage = e.failed ? Stage.LOST : Stage.KEPT);
        rules.add(() -> e.stage == Stage.LOST && e.done && !e.asking.isEmpty(), this::answerUnknown);
        rules.add(() -> e.stage == Stage.LOST && e.outlived && !e.dropped, this::drop);
        rules.add(() -> e.stage == Stage.LOOKING && e.done, () -> e.stage = Stage.KEPT);
        rules.add(() -> e.stage == Stage.KEPT && !e.asking.isEmpty(), this::answer);
        rules.add(() -> e.stage == Stage.WITHDRAWING && e.done, () -> e.stage = Stage.GONE);
        rules.add(() -> (e.stage == Stage.KEPT || e.stage == Stage.GONE) && !e.dropped, this::drop);
    }

    private boolean has(Guard guard) {
        return !without.contains(guard);
    }

    private void settle(Entry entry) {
        e = entry;
        rules.settle();
    }

    /** Number of keys in memory. */
    public int size() {
        return entries.size();
    }

    // ---- copies

    /**
     * Decides what to do with a copy that was read.
     *
     * @param body digest of the copy's body
     * @param onDisk whether the key has a record on the disk, an intent or an outcome
     */
    public Verdict read(RunId copy, Mark key, long body, boolean onDisk) {
        Entry entry = entries.get(key);
        if (entry != null && !ending(entry)) {
            if (entry.stage != Stage.LOOKING && entry.body != body) {
                return Verdict.OTHER_BODY;
            }
            return Verdict.REPEAT;
        }
        if (entry == null && onDisk && has(Guard.WINDOW) && !passedOver.contains(key)) {
            Entry looking = new Entry(key, 0, 0, null, Stage.LOOKING);
            entries.put(key, looking);
            out.look(key);
            return Verdict.REPEAT;
        }
        return entry == null && entries.size() >= most ? Verdict.NO_ROOM : Verdict.NEW;
    }

    /** Whether the entry was given up before its run started. */
    private static boolean ending(Entry entry) {
        return entry.stage == Stage.WITHDRAWING
                || entry.given && (entry.stage == Stage.INTENDING || entry.stage == Stage.READY);
    }

    /** Lets a repeat wait for the outcome of its key. It is answered once, unless its caller disconnects before. */
    public void await(RunId copy, Mark key, long body) {
        Entry entry = entries.get(key);
        if (entry == null) {
            out.answer(copy, Known.UNKNOWN, null);
            return;
        }
        entry.asking.add(new Asker(copy, body));
        if (entry.stage == Stage.LOST) {
            again(entry);
        }
        settle(entry);
    }

    /** The caller of a copy disconnected. Its run continues if the start was asked for, else it is given up. */
    public void leave(RunId copy) {
        entries.values().forEach(entry -> entry.asking.removeIf(a -> a.copy.equals(copy)));
        held.values().forEach(entry -> entry.asking.removeIf(a -> a.copy.equals(copy)));
        with(copy, entry -> entry.given |= !entry.wanted);
    }

    /** The scheduler has admitted a new copy. Its intent is written while it waits for a core. */
    public void admit(RunId copy, Mark key, long body, long expiresAt) {
        Entry entry = new Entry(key, body, expiresAt, copy, Stage.INTENDING);
        entry.asking.add(new Asker(copy, body));
        entries.put(key, entry);
        held.put(copy, entry);
        out.intend(copy, key, body, expiresAt);
        settle(entry);
    }

    /** The scheduler asks for the start of an admitted copy. */
    public void want(RunId copy) {
        with(copy, entry -> entry.wanted = true);
    }

    /** The scheduler has given up a copy. If it may have started, its intent is not deleted. */
    public void giveUp(RunId copy) {
        with(copy, entry -> entry.given = true);
    }

    private interface Change {
        void to(Entry entry);
    }

    private void with(RunId copy, Change change) {
        Entry entry = held.get(copy);
        if (entry != null) {
            change.to(entry);
            settle(entry);
        }
    }

    // ---- the kernel

    /** A run has ended. Only the first call for a run counts. */
    public void ended(RunId run, Known known, byte[] result) {
        with(run, entry -> {
            if (!entry.over) {
                entry.over = true;
                entry.known = known;
                entry.result = result;
            }
        });
    }

    // ---- the disk

    /** @param success whether the intent is on the disk; if false, it may still be found there after a restart */
    public void intended(RunId run, boolean success) {
        with(run, entry -> {
            if (entry.stage == Stage.INTENDING) {
                entry.done = true;
                entry.failed = !success;
            }
        });
    }

    /** @param success whether the outcome is on the disk; if false, it may still be found there after a restart */
    public void recorded(RunId run, boolean success) {
        with(run, entry -> {
            if (entry.stage == Stage.RECORDING) {
                entry.done = true;
                entry.failed = !success;
            }
        });
    }

    /** The deletion of an intent has finished, whether it succeeded or not; its run never started. */
    public void withdrawn(RunId run) {
        with(run, entry -> entry.done = true);
    }

    /** Number of outcomes whose write failed, so that they are in memory only. */
    public int lost() {
        return (int) entries.values().stream()
                .filter(entry -> entry.stage == Stage.LOST)
                .count();
    }

    /**
     * Writes the outcomes again whose write failed, and drops those whose window has ended.
     *
     * @param wall current time, tenths of a millisecond since 1970
     */
    public void tryAgain(long wall) {
        for (Entry entry : List.copyOf(entries.values())) {
            if (entry.stage == Stage.LOST) {
                entry.outlived = entry.until <= wall;
                if (!entry.outlived) {
                    again(entry);
                }
                settle(entry);
            }
        }
    }

    /** The record of a key was read. An intent without an outcome counts as {@link Known#UNKNOWN}. */
    public void looked(Mark key, long body, Known known, byte[] result) {
        Entry entry = entries.get(key);
        if (entry != null && entry.stage == Stage.LOOKING) {
            entry.body = body;
            entry.known = known;
            entry.result = result;
            entry.done = true;
            settle(entry);
        }
    }

    /** The record of a key could not be read. */
    public void lookFailed(Mark key) {
        Entry entry = entries.get(key);
        if (entry != null && entry.stage == Stage.LOOKING) {
            entry.anyBody = true;
            looked(key, 0, Known.UNKNOWN, null);
        }
    }

    /** At startup, before any copy is read: an intent without an outcome was found on the disk. */
    public void found(RunId run, Mark key, long body, long expiresAt) {
        if (!has(Guard.RESTART)) {
            passedOver.add(key);
            return;
        }
        Entry entry = new Entry(key, body, expiresAt, run, Stage.BEGUN);
        entries.put(key, entry);
        held.put(run, entry);
    }

    // ---- actions of the rules

    private void neverBegan() {
        e.stage = Stage.GONE;
        release();
    }

    private void withdraw() {
        e.stage = Stage.WITHDRAWING;
        e.done = entries.get(e.mark) != e; // the intent of a later copy has replaced it on the disk
        if (!e.done) {
            out.withdraw(e.holder, e.mark);
        }
        release();
    }

    /** The run will not start: tells all copies that wait for it that they may be deferred. */
    private void release() {
        List<Asker> all = List.copyOf(e.asking);
        e.asking.clear();
        all.forEach(a -> out.notBegun(a.copy));
    }

    private void begin() {
        e.stage = Stage.BEGUN;
        out.begin(e.holder);
    }

    private void record() {
        e.stage = Stage.RECORDING;
        e.done = false;
        e.failed = false;
        out.record(e.holder, e.mark, e.body, e.known, e.result, e.until);
    }

    private void again(Entry entry) {
        entry.stage = Stage.RECORDING;
        entry.done = false;
        entry.failed = false;
        out.record(entry.holder, entry.mark, entry.body, entry.known, entry.result, entry.until);
    }

    private void answer() {
        List<Asker> all = List.copyOf(e.asking);
        e.asking.clear();
        for (Asker a : all) {
            if (a.body != e.body && !e.anyBody) {
                out.otherBody(a.copy);
            } else {
                out.answer(a.copy, e.known, e.known == Known.GOOD ? e.result : null);
            }
        }
    }

    /** A result that could not be written is not sent, since it may be unknown after a restart. */
    private void answerUnknown() {
        List<Asker> all = List.copyOf(e.asking);
        e.asking.clear();
        all.forEach(a -> out.answer(a.copy, Known.UNKNOWN, null));
    }

    private void drop() {
        e.dropped = true;
        entries.remove(e.mark, e);
        if (e.holder != null) {
            held.remove(e.holder, e);
            out.over(e.holder);
        }
    }

    /** The complete state as text, equal for equal states; for checks. */
    String describe() {
        return held.entrySet().stream()
                        .map(h -> h.getKey().value() + ":" + describe(h.getValue()))
                        .sorted()
                        .collect(Collectors.joining(";"))
                + "|"
                + entries.values().stream().map(Marks::describe).sorted().collect(Collectors.joining(";"));
    }

    private static String describe(Entry entry) {
        return entry.mark.stamp().value()
                + entry.stage
                + (entry.holder == null ? "" : entry.holder.value())
                + entry.outlived
                + entry.wanted
                + entry.given
                + entry.over
                + entry.done
                + entry.failed
                + entry.known
                + (entry.result == null ? "" : entry.result[0])
                + entry.asking.stream().map(a -> a.copy.value() + "/" + a.body).toList();
    }
}
