package tallyweir.results;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import tallyweir.ids.SubjectId;
import tallyweir.ids.WorkloadId;
import tallyweir.search.Search;
import tallyweir.search.World;

/**
 * Explores every order of events of a few copies with one key, the scheduler, the disk and the kernel, with at most one
 * crash of the process, one crash of the kernel and one disk fault, and checks the rules in each state. It runs the
 * real {@link Marks} in a simulated environment.
 */
public final class Explorer {
    private static final Mark MARK = new Mark(new WorkloadId("w"), new SubjectId("m"));

    private Explorer() {}

    /**
     * @param copies number of copies that arrive, 1 to 4
     * @param without guards that are switched off
     * @param maxStates after which the search ends with a violation that says so
     */
    public static Search.Seen explore(int copies, Set<Marks.Guard> without, long maxStates) {
        return Search.explore(() -> new Copies(copies, without), maxStates);
    }

    private static final class Copy {
        private static final int UNSENT = 0;
        private static final int ASKING = 1;
        private static final int OVER = 2;

        private final long body = 7;
        private int state = UNSENT;
        private int holds; // the run that it was admitted for, 0 for none
        private boolean wanted;
        private boolean given;
        private boolean afterGood; // read after a result had been sent
    }

    private record Write(String what, long run, String value) {}

    /** The system under search: the tracker and its simulated environment. */
    private static final class Copies implements World, Keeping {
        private final List<Copy> copies = new ArrayList<>();
        private final Set<Marks.Guard> without;
        private final List<String> wrong = new ArrayList<>();
        private Marks marks;
        private boolean up = true;
        private boolean crashed;
        private boolean kernelDied;
        private boolean faulted;
        private String disk = ""; // the record of the key: "", "intent RUN" or "KNOWN RUN"
        private final ArrayDeque<Write> writes = new ArrayDeque<>();
        private boolean looking;
        private final TreeSet<Long> sent = new TreeSet<>();
        private final TreeSet<Long> running = new TreeSet<>();
        private final TreeSet<Long> ended = new TreeSet<>();
        // Runs that this process passed to the kernel or found at its start.
        private final TreeSet<Long> begun = new TreeSet<>();
        private final TreeSet<Long> found = new TreeSet<>();
        private int starts;
        private String good; // the result that was sent, null if none

        Copies(int copies, Set<Marks.Guard> without) {
            this.without = without;
            for (int i = 0; i < copies; i++) {
                this.copies.add(new Copy());
            }
            marks = new Marks(this, 4, without);
        }

        @Override
        public String describe() {
            StringBuilder s = new StringBuilder(up ? "up" : "down")
                    .append(crashed)
                    .append(kernelDied)
                    .append(faulted)
                    .append(disk)
                    .append(writes)
                    .append(looking)
                    .append(sent)
                    .append(running)
                    .append(ended)
                    .append(begun)
                    .append(found)
                    .append(starts)
                    .append(good);
            copies.forEach(c -> s.append(c.state)
                    .append(c.holds)
                    .append(c.wanted)
                    .append(c.given)
                    .append(c.afterGood));
            return s.append(up ? marks.describe() : "").toString();
        }

        @Override
        public List<String> enabled() {
            List<String> all = new ArrayList<>();
            boolean any = false;
            for (int i = 0; i < copies.size(); i++) {
                Copy c = copies.get(i);
                if (up && c.state == Copy.UNSENT && !any) {
                    any = true; // copies are interchangeable, so only the next unsent one is tried
                    all.add("read " + i);
                    all.add("defer " + i);
                }
                if (up && c.state == Copy.ASKING && c.holds > 0 && !c.wanted) {
                    all.add("want " + i);
                }
                if (up && c.state == Copy.ASKING && c.holds > 0 && !c.given) {
                    all.add("giveup " + i);
                }
                if (up && c.state == Copy.ASKING) {
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
            if (up && marks.lost() > 0) {
                all.add("again");
                all.add("outlive");
            }
            if (up && looking) {
                all.add("disk shows");
            }
            sent.forEach(r -> all.add("kernel takes " + r));
            running.forEach(r -> all.add("kernel ends " + r));
            if (up) {
                ended.stream().filter(begun::contains).forEach(r -> all.add("notice " + r));
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
        public boolean rests(List<String> enabled) {
            return enabled.stream()
                    .allMatch(a -> a.startsWith("leave") || a.startsWith("crash") || a.startsWith("kernel dies"));
        }

        @Override
        public String wrongAtRest() {
            return up && copies.stream().anyMatch(c -> c.state == Copy.ASKING) ? "a copy is never answered" : null;
        }

        @Override
        public List<String> wrong() {
            return wrong;
        }

        @Override
        public void act(String action) {
            String[] a = action.split(" ");
            int i = a.length > 1 && a[1].matches("[0-9]+") ? Integer.parseInt(a[1]) : 0;
            switch (a[0]) {
                case "read" -> read(i);
                case "defer" -> copies.get(i).state = Copy.OVER; // refused when read, so that it leaves no trace
                case "want" -> {
                    copies.get(i).wanted = true;
                    marks.want(new RunId(copies.get(i).holds));
                }
                case "giveup" -> {
                    copies.get(i).given = true;
                    marks.giveUp(new RunId(copies.get(i).holds));
                }
                case "leave" -> {
                    copies.get(i).state = Copy.OVER;
                    marks.leave(new RunId(i + 1));
                }
                case "disk" -> disk(action);
                case "again" -> marks.tryAgain(50);
                case "outlive" -> outlive();
                case "notice" -> {
                    ended.remove((long) i);
                    found.remove((long) i);
                    marks.ended(new RunId(i), Known.GOOD, new byte[] {(byte) i});
                }
                case "nobody" -> {
                    long run = Long.parseLong(a[2]);
                    found.remove(run);
                    marks.ended(new RunId(run), Known.UNKNOWN, null);
                }
                case "crash" -> crash(i);
                case "start" -> start();
                default -> kernel(a);
            }
        }

        private void read(int i) {
            Copy c = copies.get(i);
            c.state = Copy.ASKING;
            c.afterGood = good != null;
            RunId id = new RunId(i + 1);
            switch (marks.read(id, MARK, c.body, !disk.isEmpty())) {
                case NEW -> {
                    c.holds = i + 1;
                    marks.admit(id, MARK, c.body, 100);
                }
                case REPEAT -> marks.await(id, MARK, c.body);
                default -> c.state = Copy.OVER;
            }
        }

        private void disk(String action) {
            if (action.equals("disk shows")) {
                looking = false;
                String[] d = disk.split(" ");
                boolean over = disk.length() > 0 && !d[0].equals("intent");
                marks.looked(
                        MARK,
                        7,
                        over ? Known.valueOf(d[0]) : Known.UNKNOWN,
                        over ? new byte[] {Byte.parseByte(d[1])} : null);
                return;
            }
            Write w = writes.poll();
            boolean success = action.equals("disk does");
            if (!action.equals("disk refuses")) {
                disk = w.value;
            }
            faulted |= !success;
            switch (w.what) {
                case "intend" -> marks.intended(new RunId(w.run), success);
                case "record" -> marks.recorded(new RunId(w.run), success);
                default -> marks.withdrawn(new RunId(w.run));
            }
        }

        /** The window of outcomes that were not written has ended: any later copy is another query. */
        private void outlive() {
            marks.tryAgain(100);
            if (marks.lost() > 0) {
                wrong.add("an entry past its window stays in memory");
            }
            copies.stream().filter(c -> c.state == Copy.UNSENT).forEach(c -> c.state = Copy.OVER);
        }

        private void kernel(String[] a) {
            switch (a[1]) {
                case "takes" -> {
                    sent.remove(Long.parseLong(a[2]));
                    running.add(Long.parseLong(a[2]));
                    starts++;
                    if (starts > 1) {
                        wrong.add("ran twice");
                    }
                }
                case "ends" -> {
                    running.remove(Long.parseLong(a[2]));
                    ended.add(Long.parseLong(a[2]));
                }
                default -> {
                    kernelDied = true;
                    List<Long> lost = new ArrayList<>(begun);
                    sent.clear();
                    running.clear();
                    ended.clear();
                    found.clear();
                    if (up) {
                        lost.forEach(r -> marks.ended(new RunId(r), Known.UNKNOWN, null));
                    }
                }
            }
        }

        private void crash(int applied) {
            crashed = true;
            up = false;
            for (int n = 0; n < applied; n++) {
                disk = writes.poll().value;
            }
            writes.clear();
            looking = false;
            begun.clear();
            found.clear();
            copies.stream().filter(c -> c.state == Copy.ASKING).forEach(c -> c.state = Copy.OVER);
        }

        private void start() {
            up = true;
            marks = new Marks(this, 4, without);
            if (disk.startsWith("intent")) {
                long run = Long.parseLong(disk.split(" ")[1]);
                begun.add(run);
                marks.found(new RunId(run), MARK, 7, 100);
                if (kernelDied) {
                    marks.ended(new RunId(run), Known.UNKNOWN, null);
                } else {
                    found.add(run);
                }
            }
        }

        // ---- actions of the tracker

        @Override
        public void intend(RunId run, Mark key, long body, long expiresAt) {
            writes.add(new Write("intend", run.value(), "intent " + run.value()));
        }

        @Override
        public void record(RunId run, Mark key, long body, Known known, byte[] result, long expiresAt) {
            writes.add(new Write("record", run.value(), known + " " + (result == null ? 0 : result[0])));
        }

        @Override
        public void withdraw(RunId run, Mark key) {
            writes.add(new Write("withdraw", run.value(), ""));
        }

        @Override
        public void look(Mark key) {
            looking = true;
        }

        @Override
        public void begin(RunId run) {
            sent.add(run.value());
            begun.add(run.value());
        }

        @Override
        public void answer(RunId copy, Known known, byte[] result) {
            Copy c = close(copy);
            if (known == Known.GOOD) {
                String value = Byte.toString(result[0]);
                if (good != null && !good.equals(value)) {
                    wrong.add("answers differ");
                }
                good = value;
            } else if (c.afterGood) {
                wrong.add("a result that was sent is not known any more");
            }
        }

        @Override
        public void otherBody(RunId copy) {
            close(copy);
            wrong.add("equal bodies were taken for different ones");
        }

        @Override
        public void notBegun(RunId copy) {
            close(copy);
        }

        @Override
        public void over(RunId run) {
            // nothing is kept per run here
        }

        private Copy close(RunId copy) {
            Copy c = copies.get((int) copy.value() - 1);
            if (c.state != Copy.ASKING) {
                wrong.add("answered twice");
            }
            c.state = Copy.OVER;
            return c;
        }
    }

    /** The guards; the exploration must find a violation without any one of them. */
    public static List<Marks.Guard> guards() {
        return Collections.unmodifiableList(List.of(Marks.Guard.values()));
    }
}
