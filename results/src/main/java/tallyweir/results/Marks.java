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
 * What is recorded when, and what a repeat gets. Knows no disk, kernel or clock: each input is a call, each wish leaves
 * through {@link Keeping}; after each input the rules are gone through in order until none fires.
 *
 * <p>The invariant: a run begins only once its intent is on the disk; a result leaves only once it is; of one mark a
 * further run begins only if every earlier one is proven not to have begun. An entry is in memory while something of it
 * is under way; after that the disk alone knows the mark, and a look brings it back.
 */
public final class Marks {
    /** What stands between a fault and a second run or a second answer. All are on, but where a check wants to see why. */
    public enum Guard {
        /** No run begins before its intent is on the disk. */
        INTENT,
        /** No result leaves before it is on the disk. */
        ORDER,
        /** What may have begun is never taken back. */
        PROOF,
        /** An intent found at a start is settled by proof, or its outcome is unknown. */
        RESTART,
        /** A mark that the disk knows is not new. */
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
        private boolean wanted; // the decisions want it to run
        private boolean given; // they have given it up
        private boolean over; // the run has ended, or nobody can tell
        private boolean done; // the write or look under way is done,
        private boolean failed; // and failed
        private boolean dropped; // out of memory
        private boolean anyBody; // the body is not known
        private boolean outlived; // its window is over
        private Known known;
        private byte[] result;
        private final List<Asker> asking = new ArrayList<>(1);

        private Entry(Mark mark, long body, long until, RunId holder, Stage stage) {
            this.mark = mark;
            this.body = body;
            this.until = until;
            this.holder = holder;
            this.stage = stage;
        }
    }

    private final Keeping out;
    private final int most;
    private final Set<Guard> without;
    private final Map<Mark, Entry> entries = new HashMap<>();
    private final Map<RunId, Entry> held = new HashMap<>();
    private final Set<Mark> passedOver = new HashSet<>(); // only where a check has switched a guard off
    private final Rules rules = new Rules();
    private Entry e; // what the input is about

    /**
     * @param most marks in memory at once, 1 or more; beyond it new ones find no room
     * @param without guards that are off, for checks only
     */
    public Marks(Keeping out, int most, Set<Guard> without) {
        this.out = out;
        this.most = most;
        this.without = without.isEmpty() ? EnumSet.noneOf(Guard.class) : EnumSet.copyOf(without);
        // What must not begin comes first, then what may, then what is over, then who waits for it.
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

    private boolean has(Guard g) {
        return !without.contains(g);
    }

    private void settle(Entry about) {
        e = about;
        rules.settle();
    }

    /** How many marks are in memory. */
    public int size() {
        return entries.size();
    }

    // ---- copies

    /**
     * A copy was read.
     *
     * @param onDisk whether the disk knows the mark, as intent or as result
     */
    public Verdict read(RunId copy, Mark mark, long body, boolean onDisk) {
        Entry there = entries.get(mark);
        if (there != null && !ending(there)) {
            if (there.stage != Stage.LOOKING && there.body != body) {
                return Verdict.OTHER_BODY;
            }
            return Verdict.REPEAT;
        }
        if (there == null && onDisk && has(Guard.WINDOW) && !passedOver.contains(mark)) {
            Entry looking = new Entry(mark, 0, 0, null, Stage.LOOKING);
            entries.put(mark, looking);
            out.look(mark);
            return Verdict.REPEAT;
        }
        return there == null && entries.size() >= most ? Verdict.NO_ROOM : Verdict.NEW;
    }

    /** Whether it is given up, never having begun. */
    private static boolean ending(Entry x) {
        return x.stage == Stage.WITHDRAWING || x.given && (x.stage == Stage.INTENDING || x.stage == Stage.READY);
    }

    /** A repeat waits for what its mark comes to; it is answered once, unless it leaves before. */
    public void await(RunId copy, Mark mark, long body) {
        Entry there = entries.get(mark);
        if (there == null) {
            out.answer(copy, Known.UNKNOWN, null);
            return;
        }
        there.asking.add(new Asker(copy, body));
        if (there.stage == Stage.LOST) {
            again(there);
        }
        settle(there);
    }

    /** Nobody waits for this copy's answer any longer. What it began goes on; what it never wanted is given up. */
    public void leave(RunId copy) {
        entries.values().forEach(x -> x.asking.removeIf(a -> a.copy.equals(copy)));
        held.values().forEach(x -> x.asking.removeIf(a -> a.copy.equals(copy)));
        with(copy, x -> x.given |= !x.wanted);
    }

    /** The decisions have taken a new copy in: its intent is on its way while it waits for a core. */
    public void admit(RunId copy, Mark mark, long body, long until) {
        Entry n = new Entry(mark, body, until, copy, Stage.INTENDING);
        n.asking.add(new Asker(copy, body));
        entries.put(mark, n);
        held.put(copy, n);
        out.intend(copy, mark, body, until);
        settle(n);
    }

    /** The decisions want a copy that was admitted to run. */
    public void want(RunId copy) {
        with(copy, x -> x.wanted = true);
    }

    /** The decisions have given a copy up; where it may have begun, nothing is taken back. */
    public void giveUp(RunId copy) {
        with(copy, x -> x.given = true);
    }

    private interface Change {
        void to(Entry x);
    }

    private void with(RunId copy, Change change) {
        Entry x = held.get(copy);
        if (x != null) {
            change.to(x);
            settle(x);
        }
    }

    // ---- the kernel

    /** A run is over. */
    public void ended(RunId run, Known known, byte[] result) {
        with(run, x -> {
            if (!x.over) {
                x.over = true;
                x.known = known;
                x.result = result;
            }
        });
    }

    // ---- the disk

    /** @param good whether the intent is on the disk; where it is not, it may yet be found there after a start */
    public void intended(RunId run, boolean good) {
        with(run, x -> {
            if (x.stage == Stage.INTENDING) {
                x.done = true;
                x.failed = !good;
            }
        });
    }

    /** @param good whether the result is on the disk; where it is not, it may yet be found there after a start */
    public void recorded(RunId run, boolean good) {
        with(run, x -> {
            if (x.stage == Stage.RECORDING) {
                x.done = true;
                x.failed = !good;
            }
        });
    }

    /** The intent is gone from the disk, or may not be; either way its run never began. */
    public void withdrawn(RunId run) {
        with(run, x -> x.done = true);
    }

    /** How many results the disk has refused that are in memory alone. */
    public int lost() {
        return (int)
                entries.values().stream().filter(x -> x.stage == Stage.LOST).count();
    }

    /**
     * Offers the disk again what it has refused; what is past its window is forgotten.
     *
     * @param wall tenths of a millisecond since 1970
     */
    public void tryAgain(long wall) {
        for (Entry x : List.copyOf(entries.values())) {
            if (x.stage == Stage.LOST) {
                x.outlived = x.until <= wall;
                if (!x.outlived) {
                    again(x);
                }
                settle(x);
            }
        }
    }

    /** What the disk has of a mark; an intent that nobody has settled is {@link Known#UNKNOWN}. */
    public void looked(Mark mark, long body, Known known, byte[] result) {
        Entry x = entries.get(mark);
        if (x != null && x.stage == Stage.LOOKING) {
            x.body = body;
            x.known = known;
            x.result = result;
            x.done = true;
            settle(x);
        }
    }

    /** The disk cannot tell what it has of a mark. */
    public void lookFailed(Mark mark) {
        Entry x = entries.get(mark);
        if (x != null && x.stage == Stage.LOOKING) {
            x.anyBody = true;
            looked(mark, 0, Known.UNKNOWN, null);
        }
    }

    /** At a start, before any copy is read: an intent on the disk of which nobody knows what became of it. */
    public void found(RunId run, Mark mark, long body, long until) {
        if (!has(Guard.RESTART)) {
            passedOver.add(mark);
            return;
        }
        Entry x = new Entry(mark, body, until, run, Stage.BEGUN);
        entries.put(mark, x);
        held.put(run, x);
    }

    // ---- what the rules do

    private void neverBegan() {
        e.stage = Stage.GONE;
        release();
    }

    private void withdraw() {
        e.stage = Stage.WITHDRAWING;
        e.done = entries.get(e.mark) != e; // the intent of a later copy has taken its place on the disk
        if (!e.done) {
            out.withdraw(e.holder, e.mark);
        }
        release();
    }

    /** All that waited for a run that never begins may come again; the holder is told so, too. */
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

    private void again(Entry x) {
        x.stage = Stage.RECORDING;
        x.done = false;
        x.failed = false;
        out.record(x.holder, x.mark, x.body, x.known, x.result, x.until);
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

    /** The disk has not taken the result: it does not leave, for after a start it may not be known any more. */
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

    /** Everything in it as text, equal for equal states; for checks. */
    String describe() {
        return held.entrySet().stream()
                        .map(h -> h.getKey().value() + ":" + describe(h.getValue()))
                        .sorted()
                        .collect(Collectors.joining(";"))
                + "|"
                + entries.values().stream().map(Marks::describe).sorted().collect(Collectors.joining(";"));
    }

    private static String describe(Entry x) {
        return x.mark.stamp().value()
                + x.stage
                + (x.holder == null ? "" : x.holder.value())
                + x.outlived
                + x.wanted
                + x.given
                + x.over
                + x.done
                + x.failed
                + x.known
                + (x.result == null ? "" : x.result[0])
                + x.asking.stream().map(a -> a.copy.value() + "/" + a.body).toList();
    }
}
