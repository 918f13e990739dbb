package tallyweir.results;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import tallyweir.ids.SubjectId;
import tallyweir.ids.WorkloadId;
import tallyweir.search.ExhaustiveSearch;
import tallyweir.search.SearchableSystem;

/**
 * Explores every order of events of a few copies with one key, the scheduler, the disk and the kernel, with at most one
 * crash of the process, one crash of the kernel and one disk fault, and checks the rules in each state. It runs the
 * real {@link IdempotencyTracker} in a simulated environment.
 */
public final class Explorer {
    private static final IdempotencyKey KEY = new IdempotencyKey(new WorkloadId("w"), new SubjectId("m"));

    private Explorer() {}

    /**
     * @param copies number of copies that arrive, 1 to 4
     * @param without guards that are switched off
     * @param maxStates after which the search ends with a violation that says so
     */
    public static ExhaustiveSearch.SearchResult explore(
            int copies, Set<IdempotencyTracker.Guard> without, long maxStates) {
        return ExhaustiveSearch.explore(() -> new SimulatedEnvironment(copies, without), maxStates);
    }

    private static final class Copy {
        private static final int NOT_SENT = 0;
        private static final int WAITING = 1;
        private static final int ENDED = 2;

        private final long body = 7;
        private int state = NOT_SENT;
        private int admittedRun; // the run that it was admitted for, 0 for none
        private boolean startRequested;
        private boolean givenUp;
        private boolean readAfterResult; // read after a result had been sent
    }

    private record Write(String operation, long run, String value) {}

    /** The system under search: the tracker and its simulated environment. */
    private static final class SimulatedEnvironment implements SearchableSystem, IdempotencyActions {
        private final List<Copy> copies = new ArrayList<>();
        private final Set<IdempotencyTracker.Guard> without;
        private final List<String> violations = new ArrayList<>();
        private IdempotencyTracker tracker;
        private boolean up = true;
        private boolean crashed;
        private boolean kernelDied;
        private boolean faulted;
        private String storedRecord = ""; // the record of the key: "", "intent RUN" or "KNOWN RUN"
        private final ArrayDeque<Write> writes = new ArrayDeque<>();
        private boolean readPending;
        private final TreeSet<Long> sent = new TreeSet<>();
        private final TreeSet<Long> running = new TreeSet<>();
        private final TreeSet<Long> ended = new TreeSet<>();
        // Runs that this process passed to the kernel or found at its start.
        private final TreeSet<Long> startedRuns = new TreeSet<>();
        private final TreeSet<Long> found = new TreeSet<>();
        private int starts;
        private String sentResult; // the result that was sent, null if none

        SimulatedEnvironment(int copies, Set<IdempotencyTracker.Guard> without) {
            this.without = without;
            for (int i = 0; i < copies; i++) {
                this.copies.add(new Copy());
            }
            tracker = new IdempotencyTracker(this, 4, without);
        }

        @Override
        public String describe() {
            StringBuilder s = new StringBuilder(up ? "up" : "down")
                    .append(crashed)
                    .append(kernelDied)
                    .append(faulted)
                    .append(storedRecord)
                    .append(writes)
                    .append(readPending)
                    .append(sent)
                    .append(running)
                    .append(ended)
                    .append(startedRuns)
                    .append(found)
                    .append(starts)
                    .append(sentResult);
            copies.forEach(c -> s.append(c.state)
                    .append(c.admittedRun)
                    .append(c.startRequested)
                    .append(c.givenUp)
                    .append(c.readAfterResult));
            return s.append(up ? tracker.describe() : "").toString();
        }

        @Override
        public List<String> enabledActions() {
            List<String> all = new ArrayList<>();
            boolean any = false;
            for (int i = 0; i < copies.size(); i++) {
                Copy c = copies.get(i);
                if (up && c.state == Copy.NOT_SENT && !any) {
                    any = true; // copies are interchangeable, so only the next unsent one is tried
                    all.add("read " + i);
                    all.add("defer " + i);
                }
                if (up && c.state == Copy.WAITING && c.admittedRun > 0 && !c.startRequested) {
                    all.add("want " + i);
                }
                if (up && c.state == Copy.WAITING && c.admittedRun > 0 && !c.givenUp) {
                    all.add("giveup " + i);
                }
                if (up && c.state == Copy.WAITING) {
                    all.add("leave " + i);
                }
            }
            if (up && !writes.isEmpty()) {
                all.add("disk does");
                if (!faulted) {
                    all.add("disk refuses");
                    all.add("disk does and says it failed");
                }
            }
            if (up && tracker.unrecordedOutcomes() > 0) {
                all.add("again");
                all.add("outlive");
            }
            if (up && readPending) {
                all.add("disk shows");
            }
            sent.forEach(r -> all.add("kernel takes " + r));
            running.forEach(r -> all.add("kernel ends " + r));
            if (up) {
                ended.stream().filter(startedRuns::contains).forEach(r -> all.add("notice " + r));
                sent.stream().filter(startedRuns::contains).forEach(r -> all.add("never " + r));
                found.forEach(r -> all.add("nobody knows " + r));
            }
            if (up && !crashed) {
                for (int n = 0; n <= writes.size(); n++) {
                    all.add("crash " + n);
                }
            }
            if (!up) {
                all.add("start");
            }
            if (!kernelDied) {
                all.add("kernel dies");
            }
            return all;
        }

        @Override
        public boolean isQuiescent(List<String> enabled) {
            return enabled.stream()
                    .allMatch(a -> a.startsWith("leave") || a.startsWith("crash") || a.startsWith("kernel dies"));
        }

        @Override
        public String quiescentViolation() {
            return up && copies.stream().anyMatch(c -> c.state == Copy.WAITING) ? "a copy is never answered" : null;
        }

        @Override
        public List<String> violations() {
            return violations;
        }

        @Override
        public void perform(String action) {
            String[] a = action.split(" ");
            int i = a.length > 1 && a[1].matches("[0-9]+") ? Integer.parseInt(a[1]) : 0;
            switch (a[0]) {
                case "read" -> read(i);
                case "defer" -> copies.get(i).state = Copy.ENDED; // refused when read, so that it leaves no trace
                case "want" -> {
                    copies.get(i).startRequested = true;
                    tracker.requestStart(new RunId(copies.get(i).admittedRun));
                }
                case "giveup" -> {
                    copies.get(i).givenUp = true;
                    tracker.giveUp(new RunId(copies.get(i).admittedRun));
                }
                case "leave" -> {
                    copies.get(i).state = Copy.ENDED;
                    tracker.onDisconnected(new RunId(i + 1));
                }
                case "disk" -> disk(action);
                case "again" -> tracker.retryRecording(50);
                case "outlive" -> expireUnrecorded();
                case "notice" -> {
                    ended.remove((long) i);
                    found.remove((long) i);
                    tracker.onRunEnded(new RunId(i), Known.GOOD, new byte[] {(byte) i});
                }
                case "never" -> {
                    sent.remove((long) i); // lost on its way, and reported so by the kernel
                    startedRuns.remove((long) i);
                    tracker.onNeverBegan(new RunId(i));
                }
                case "nobody" -> {
                    long run = Long.parseLong(a[2]);
                    found.remove(run);
                    tracker.onRunEnded(new RunId(run), Known.UNKNOWN, null);
                }
                case "crash" -> crash(i);
                case "start" -> start();
                default -> kernel(a);
            }
        }

        private void read(int i) {
            Copy c = copies.get(i);
            c.state = Copy.WAITING;
            c.readAfterResult = sentResult != null;
            RunId id = new RunId(i + 1);
            switch (tracker.onCopyRead(id, KEY, c.body, !storedRecord.isEmpty())) {
                case NEW -> {
                    c.admittedRun = i + 1;
                    tracker.admit(id, KEY, c.body, 100);
                }
                case REPEAT -> tracker.awaitOutcome(id, KEY, c.body);
                default -> c.state = Copy.ENDED;
            }
        }

        private void disk(String action) {
            if (action.equals("disk shows")) {
                readPending = false;
                String[] d = storedRecord.split(" ");
                boolean over = storedRecord.length() > 0 && !d[0].equals("intent");
                tracker.onRecordRead(
                        KEY,
                        7,
                        over ? Known.valueOf(d[0]) : Known.UNKNOWN,
                        over ? new byte[] {Byte.parseByte(d[1])} : null);
                return;
            }
            Write w = writes.poll();
            boolean success = action.equals("disk does");
            if (!action.equals("disk refuses")) {
                storedRecord = w.value;
            }
            faulted |= !success;
            switch (w.operation) {
                case "intend" -> tracker.onIntentRecorded(new RunId(w.run), success);
                case "record" -> tracker.onOutcomeRecorded(new RunId(w.run), success);
                default -> tracker.onIntentDeleted(new RunId(w.run));
            }
        }

        /** The window of outcomes that were not written has ended: any later copy is another query. */
        private void expireUnrecorded() {
            tracker.retryRecording(100);
            if (tracker.unrecordedOutcomes() > 0) {
                violations.add("an entry past its window stays in memory");
            }
            copies.stream().filter(c -> c.state == Copy.NOT_SENT).forEach(c -> c.state = Copy.ENDED);
        }

        private void kernel(String[] a) {
            switch (a[1]) {
                case "takes" -> {
                    sent.remove(Long.parseLong(a[2]));
                    running.add(Long.parseLong(a[2]));
                    starts++;
                    if (starts > 1) {
                        violations.add("ran twice");
                    }
                }
                case "ends" -> {
                    running.remove(Long.parseLong(a[2]));
                    ended.add(Long.parseLong(a[2]));
                }
                default -> {
                    kernelDied = true;
                    List<Long> lost = new ArrayList<>(startedRuns);
                    sent.clear();
                    running.clear();
                    ended.clear();
                    found.clear();
                    if (up) {
                        lost.forEach(r -> tracker.onRunEnded(new RunId(r), Known.UNKNOWN, null));
                    }
                }
            }
        }

        private void crash(int applied) {
            crashed = true;
            up = false;
            for (int n = 0; n < applied; n++) {
                storedRecord = writes.poll().value;
            }
            writes.clear();
            readPending = false;
            startedRuns.clear();
            found.clear();
            copies.stream().filter(c -> c.state == Copy.WAITING).forEach(c -> c.state = Copy.ENDED);
        }

        private void start() {
            up = true;
            tracker = new IdempotencyTracker(this, 4, without);
            if (storedRecord.startsWith("intent")) {
                long run = Long.parseLong(storedRecord.split(" ")[1]);
                startedRuns.add(run);
                tracker.restoreIntent(new RunId(run), KEY, 7, 100);
                if (kernelDied) {
                    tracker.onRunEnded(new RunId(run), Known.UNKNOWN, null);
                } else {
                    found.add(run);
                }
            }
        }

        // ---- actions of the tracker

        @Override
        public void recordIntent(RunId run, IdempotencyKey key, long body, long expiresAt) {
            writes.add(new Write("intend", run.value(), "intent " + run.value()));
        }

        @Override
        public void record(RunId run, IdempotencyKey key, long body, Known known, byte[] result, long expiresAt) {
            writes.add(new Write("record", run.value(), known + " " + (result == null ? 0 : result[0])));
        }

        @Override
        public void deleteIntent(RunId run, IdempotencyKey key) {
            writes.add(new Write("withdraw", run.value(), ""));
        }

        @Override
        public void readRecord(IdempotencyKey key) {
            readPending = true;
        }

        @Override
        public void startRun(RunId run) {
            sent.add(run.value());
            startedRuns.add(run.value());
        }

        @Override
        public void answer(RunId copy, Known known, byte[] result) {
            Copy c = close(copy);
            if (known == Known.GOOD) {
                String value = Byte.toString(result[0]);
                if (sentResult != null && !sentResult.equals(value)) {
                    violations.add("answers differ");
                }
                sentResult = value;
            } else if (c.readAfterResult) {
                violations.add("a result that was sent is not known any more");
            }
        }

        @Override
        public void refuseOtherBody(RunId copy) {
            close(copy);
            violations.add("equal bodies were taken for different ones");
        }

        @Override
        public void deferNotStarted(RunId copy) {
            close(copy);
        }

        @Override
        public void release(RunId run) {
            // nothing is kept per run here
        }

        private Copy close(RunId copy) {
            Copy c = copies.get((int) copy.value() - 1);
            if (c.state != Copy.WAITING) {
                violations.add("answered twice");
            }
            c.state = Copy.ENDED;
            return c;
        }
    }

    /** The guards; the exploration must find a violation without any one of them. */
    public static List<IdempotencyTracker.Guard> guards() {
        return Collections.unmodifiableList(List.of(IdempotencyTracker.Guard.values()));
    }
}
