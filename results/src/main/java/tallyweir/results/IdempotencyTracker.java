package tallyweir.results;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import tallyweir.rules.RuleList;

/**
 * Tracks the runs of queries that have an idempotency key: when their intents and outcomes are written, and how
 * repeats are answered. Has no access to the disk, the kernel or the clock: each event is a call, and actions are
 * carried out through {@link IdempotencyActions}. After each event the rules listed in the constructor are evaluated in order
 * until none applies. Not thread-safe.
 *
 * <p>Invariants: a run starts only after its intent is on the disk; a result is sent only after it is on the disk;
 * for one key another run starts only if every earlier one is proven not to have started. An entry is in memory only
 * while something is under way for its key. After that the record is on the disk only, and is read when a repeat
 * comes.
 */
public final class IdempotencyTracker {
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
        READING,
        RECORDING_INTENT,
        READY,
        STARTED,
        RECORDING,
        RECORDED,
        NOT_RECORDED,
        DELETING_INTENT,
        DELETED
    }

    private record Waiter(RunId copy, long body) {}

    private static final class Entry {
        private final IdempotencyKey key;
        private long body;
        private final long expiresAt;
        private final RunId run;
        private Stage stage;
        private boolean startRequested; // the scheduler has asked for its start
        private boolean givenUp; // the scheduler has given it up
        private boolean runEnded; // the run has ended, or its end can't be determined
        private boolean neverBegan; // its start was requested, but it is proven that it has not begun and never will
        private boolean ioDone; // the current write or read has finished,
        private boolean ioFailed; // and failed
        private boolean dropped; // removed from memory
        private boolean bodyUnknown; // the body is unknown, so it is not compared
        private boolean expired; // its window has ended
        private Known known;
        private byte[] result;
        private final List<Waiter> waiters = new ArrayList<>(1);

        private Entry(IdempotencyKey key, long body, long expiresAt, RunId run, Stage stage) {
            this.key = key;
            this.body = body;
            this.expiresAt = expiresAt;
            this.run = run;
            this.stage = stage;
        }
    }

    private final IdempotencyActions out;
    private final int maxEntries;
    private final Set<Guard> without;
    private final Map<IdempotencyKey, Entry> entries = new HashMap<>();
    private final Map<RunId, Entry> entriesByRun = new HashMap<>();
    private final Set<IdempotencyKey> ignoredIntents =
            new HashSet<>(); // used only when a check has switched off a guard
    private final RuleList rules = new RuleList();
    private Entry current; // the entry that the current event is about

    /**
     * @param maxEntries keys in memory at once, 1 or more; beyond that new keys are refused
     * @param without guards that are switched off, for checks only
     */
    public IdempotencyTracker(IdempotencyActions out, int maxEntries, Set<Guard> without) {
        this.out = out;
        this.maxEntries = maxEntries;
        this.without = without.isEmpty() ? EnumSet.noneOf(Guard.class) : EnumSet.copyOf(without);
        // Order: runs that must not start, runs that may, runs that have ended, callers that wait for an outcome.
        rules.add(
                () -> current.stage == Stage.RECORDING_INTENT && current.ioDone && current.ioFailed,
                this::discardUnstarted);
        rules.add(
                () -> (current.stage == Stage.RECORDING_INTENT && current.ioDone || current.stage == Stage.READY)
                        && current.givenUp,
                this::deleteIntent);
        rules.add(() -> current.stage == Stage.STARTED && current.neverBegan, this::deleteIntent);
        rules.add(() -> current.stage == Stage.STARTED && current.givenUp && !isOn(Guard.PROOF), this::deleteIntent);
        rules.add(
                () -> current.stage == Stage.RECORDING_INTENT
                        && (current.ioDone || current.startRequested && !isOn(Guard.INTENT)),
                () -> current.stage = Stage.READY);
        rules.add(() -> current.stage == Stage.READY && current.startRequested, this::start);
        rules.add(() -> current.stage == Stage.STARTED && current.runEnded, this::record);
        rules.add(
                () -> current.stage == Stage.RECORDING && !current.waiters.isEmpty() && !isOn(Guard.ORDER),
                this::answer);
        rules.add(
                () -> current.stage == Stage.RECORDING && current.ioDone,
                () -> current.stage = current.ioFailed ? Stage.NOT_RECORDED : Stage.RECORDED);
        rules.add(
                () -> current.stage == Stage.NOT_RECORDED && current.ioDone && !current.waiters.isEmpty(),
                this::answerUnknown);
        rules.add(() -> current.stage == Stage.NOT_RECORDED && current.expired && !current.dropped, this::drop);
        rules.add(() -> current.stage == Stage.READING && current.ioDone, () -> current.stage = Stage.RECORDED);
        rules.add(() -> current.stage == Stage.RECORDED && !current.waiters.isEmpty(), this::answer);
        rules.add(() -> current.stage == Stage.DELETING_INTENT && current.ioDone, () -> current.stage = Stage.DELETED);
        rules.add(
                () -> (current.stage == Stage.RECORDED || current.stage == Stage.DELETED) && !current.dropped,
                this::drop);
    }

    private boolean isOn(Guard guard) {
        return !without.contains(guard);
    }

    private void applyRules(Entry entry) {
        current = entry;
        rules.runUntilStable();
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
    public Verdict onCopyRead(RunId copy, IdempotencyKey key, long body, boolean onDisk) {
        Entry entry = entries.get(key);
        if (entry != null && !isAbandoned(entry)) {
            if (entry.stage != Stage.READING && entry.body != body) {
                return Verdict.OTHER_BODY;
            }
            return Verdict.REPEAT;
        }
        if (entry == null && onDisk && isOn(Guard.WINDOW) && !ignoredIntents.contains(key)) {
            Entry looking = new Entry(key, 0, 0, null, Stage.READING);
            entries.put(key, looking);
            out.readRecord(key);
            return Verdict.REPEAT;
        }
        return entry == null && entries.size() >= maxEntries ? Verdict.NO_ROOM : Verdict.NEW;
    }

    /** Whether the entry was given up before its run started. */
    private static boolean isAbandoned(Entry entry) {
        return entry.stage == Stage.DELETING_INTENT
                || entry.givenUp && (entry.stage == Stage.RECORDING_INTENT || entry.stage == Stage.READY);
    }

    /** Lets a repeat wait for the outcome of its key. It is answered once, unless its caller disconnects before. */
    public void awaitOutcome(RunId copy, IdempotencyKey key, long body) {
        Entry entry = entries.get(key);
        if (entry == null) {
            out.answer(copy, Known.UNKNOWN, null);
            return;
        }
        entry.waiters.add(new Waiter(copy, body));
        if (entry.stage == Stage.NOT_RECORDED) {
            recordAgain(entry);
        }
        applyRules(entry);
    }

    /** The caller of a copy disconnected. Its run continues if the start was asked for, else it is given up. */
    public void onDisconnected(RunId copy) {
        entries.values().forEach(entry -> entry.waiters.removeIf(a -> a.copy.equals(copy)));
        entriesByRun.values().forEach(entry -> entry.waiters.removeIf(a -> a.copy.equals(copy)));
        update(copy, entry -> entry.givenUp |= !entry.startRequested);
    }

    /** The scheduler has admitted a new copy. Its intent is written while it waits for a core. */
    public void admit(RunId copy, IdempotencyKey key, long body, long expiresAt) {
        Entry entry = new Entry(key, body, expiresAt, copy, Stage.RECORDING_INTENT);
        entry.waiters.add(new Waiter(copy, body));
        entries.put(key, entry);
        entriesByRun.put(copy, entry);
        out.recordIntent(copy, key, body, expiresAt);
        applyRules(entry);
    }

    /** The scheduler asks for the start of an admitted copy. */
    public void requestStart(RunId copy) {
        update(copy, entry -> entry.startRequested = true);
    }

    /** The scheduler has given up a copy. If it may have started, its intent is not deleted. */
    public void giveUp(RunId copy) {
        update(copy, entry -> entry.givenUp = true);
    }

    private interface Update {
        void apply(Entry entry);
    }

    private void update(RunId copy, Update change) {
        Entry entry = entriesByRun.get(copy);
        if (entry != null) {
            change.apply(entry);
            applyRules(entry);
        }
    }

    // ---- the kernel

    /** A run has ended. Only the first call for a run counts. */
    public void onRunEnded(RunId run, Known known, byte[] result) {
        update(run, entry -> {
            if (!entry.runEnded) {
                entry.runEnded = true;
                entry.known = known;
                entry.result = result;
            }
        });
    }

    /** It is proven that a run whose start was requested has not begun and never will. */
    public void onNeverBegan(RunId run) {
        update(run, entry -> entry.neverBegan = !entry.runEnded);
    }

    // ---- the disk

    /** @param success whether the intent is on the disk; if false, it may still be found there after a restart */
    public void onIntentRecorded(RunId run, boolean success) {
        update(run, entry -> {
            if (entry.stage == Stage.RECORDING_INTENT) {
                entry.ioDone = true;
                entry.ioFailed = !success;
            }
        });
    }

    /** @param success whether the outcome is on the disk; if false, it may still be found there after a restart */
    public void onOutcomeRecorded(RunId run, boolean success) {
        update(run, entry -> {
            if (entry.stage == Stage.RECORDING) {
                entry.ioDone = true;
                entry.ioFailed = !success;
            }
        });
    }

    /** The deletion of an intent has finished, whether it succeeded or not; its run never started. */
    public void onIntentDeleted(RunId run) {
        update(run, entry -> entry.ioDone = true);
    }

    /** Number of outcomes whose write failed, so that they are in memory only. */
    public int unrecordedOutcomes() {
        return (int) entries.values().stream()
                .filter(entry -> entry.stage == Stage.NOT_RECORDED)
                .count();
    }

    /**
     * Writes the outcomes again whose write failed, and drops those whose window has ended.
     *
     * @param wall current time, tenths of a millisecond since 1970
     */
    public void retryRecording(long wall) {
        for (Entry entry : List.copyOf(entries.values())) {
            if (entry.stage == Stage.NOT_RECORDED) {
                entry.expired = entry.expiresAt <= wall;
                if (!entry.expired) {
                    recordAgain(entry);
                }
                applyRules(entry);
            }
        }
    }

    /** The record of a key was read. An intent without an outcome counts as {@link Known#UNKNOWN}. */
    public void onRecordRead(IdempotencyKey key, long body, Known known, byte[] result) {
        Entry entry = entries.get(key);
        if (entry != null && entry.stage == Stage.READING) {
            entry.body = body;
            entry.known = known;
            entry.result = result;
            entry.ioDone = true;
            applyRules(entry);
        }
    }

    /** The record of a key could not be read. */
    public void onReadFailed(IdempotencyKey key) {
        Entry entry = entries.get(key);
        if (entry != null && entry.stage == Stage.READING) {
            entry.bodyUnknown = true;
            onRecordRead(key, 0, Known.UNKNOWN, null);
        }
    }

    /** At startup, before any copy is read: an intent without an outcome was found on the disk. */
    public void restoreIntent(RunId run, IdempotencyKey key, long body, long expiresAt) {
        if (!isOn(Guard.RESTART)) {
            ignoredIntents.add(key);
            return;
        }
        Entry entry = new Entry(key, body, expiresAt, run, Stage.STARTED);
        entries.put(key, entry);
        entriesByRun.put(run, entry);
    }

    // ---- actions of the rules

    private void discardUnstarted() {
        current.stage = Stage.DELETED;
        deferWaiters();
    }

    private void deleteIntent() {
        current.stage = Stage.DELETING_INTENT;
        current.ioDone = entries.get(current.key) != current; // the intent of a later copy has replaced it on the disk
        if (!current.ioDone) {
            out.deleteIntent(current.run, current.key);
        }
        deferWaiters();
    }

    /** The run will not start: tells all copies that wait for it that they may be deferred. */
    private void deferWaiters() {
        List<Waiter> all = List.copyOf(current.waiters);
        current.waiters.clear();
        all.forEach(a -> out.deferNotStarted(a.copy));
    }

    private void start() {
        current.stage = Stage.STARTED;
        out.startRun(current.run);
    }

    private void record() {
        current.stage = Stage.RECORDING;
        current.ioDone = false;
        current.ioFailed = false;
        out.record(current.run, current.key, current.body, current.known, current.result, current.expiresAt);
    }

    private void recordAgain(Entry entry) {
        entry.stage = Stage.RECORDING;
        entry.ioDone = false;
        entry.ioFailed = false;
        out.record(entry.run, entry.key, entry.body, entry.known, entry.result, entry.expiresAt);
    }

    private void answer() {
        List<Waiter> all = List.copyOf(current.waiters);
        current.waiters.clear();
        for (Waiter a : all) {
            if (a.body != current.body && !current.bodyUnknown) {
                out.refuseOtherBody(a.copy);
            } else {
                out.answer(a.copy, current.known, current.known == Known.GOOD ? current.result : null);
            }
        }
    }

    /** A result that could not be written is not sent, since it may be unknown after a restart. */
    private void answerUnknown() {
        List<Waiter> all = List.copyOf(current.waiters);
        current.waiters.clear();
        all.forEach(a -> out.answer(a.copy, Known.UNKNOWN, null));
    }

    private void drop() {
        current.dropped = true;
        entries.remove(current.key, current);
        if (current.run != null) {
            entriesByRun.remove(current.run, current);
            out.release(current.run);
        }
    }

    /** The complete state as text, equal for equal states; for checks. */
    String describe() {
        return entriesByRun.entrySet().stream()
                        .map(h -> h.getKey().value() + ":" + describe(h.getValue()))
                        .sorted()
                        .collect(Collectors.joining(";"))
                + "|"
                + entries.values().stream()
                        .map(IdempotencyTracker::describe)
                        .sorted()
                        .collect(Collectors.joining(";"));
    }

    private static String describe(Entry entry) {
        return entry.key.stamp().value()
                + entry.stage
                + (entry.run == null ? "" : entry.run.value())
                + entry.expired
                + entry.startRequested
                + entry.givenUp
                + entry.runEnded
                + entry.neverBegan
                + entry.ioDone
                + entry.ioFailed
                + entry.known
                + (entry.result == null ? "" : entry.result[0])
                + entry.waiters.stream().map(a -> a.copy.value() + "/" + a.body).toList();
    }
}
