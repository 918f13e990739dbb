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
 * Plays every order of events that a few copies of one mark, the decisions, the disk and the kernel can bring about,
 * with one crash of the process, one of the kernel and one fault of the disk, and looks in each state at what must never
 * be. The {@link Marks} it plays are the real ones.
 */
public final class Explorer {
    private static final Mark MARK = new Mark(new WorkloadId("w"), new SubjectId("m"));

    private Explorer() {}

    /**
     * @param copies how many copies come, 1 to 4
     * @param without guards that are off
     * @param most states at the most, after which it gives up and says so
     */
    public static Search.Seen explore(int copies, Set<Marks.Guard> without, long most) {
        return Search.explore(() -> new Copies(copies, without), most);
    }

    private static final class Copy {
        private static final int UNSENT = 0;
        private static final int ASKING = 1;
        private static final int OVER = 2;

        private final long body = 7;
        private int state = UNSENT;
        private int holds; // the number of the run that it holds, 0 for none
        private boolean wanted;
        private boolean given;
        private boolean afterGood; // read after a good answer had left
    }

    private record Write(String what, long run, String value) {}

    /** Everything but the marks themselves. */
    private static final class Copies implements World, Keeping {
        private final List<Copy> copies = new ArrayList<>();
        private final Set<Marks.Guard> without;
        private final List<String> wrong = new ArrayList<>();
        private Marks marks;
        private boolean up = true;
        private boolean crashed;
        private boolean kernelDied;
        private boolean faulted;
        private String disk = ""; // what it has of the mark: "", "intent RUN" or "KNOWN RUN"
        private final ArrayDeque<Write> writes = new ArrayDeque<>();
        private boolean looking;
        private final TreeSet<Long> sent = new TreeSet<>();
        private final TreeSet<Long> running = new TreeSet<>();
        private final TreeSet<Long> ended = new TreeSet<>();
        private final TreeSet<Long> begun = new TreeSet<>(); // that this process gave to the kernel or found
        private final TreeSet<Long> found = new TreeSet<>();
        private int starts;
        private String good; // the result that left, null if none did

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
                    any = true; // copies are alike: the next unsent one is as good as any
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
                case "defer" -> copies.get(i).state = Copy.OVER; // turned away at read: nothing of it is known
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
            boolean says = action.equals("disk does");
            if (!action.equals("disk refuses")) {
                disk = w.value;
            }
            faulted |= !says;
            switch (w.what) {
                case "intend" -> marks.intended(new RunId(w.run), says);
                case "record" -> marks.recorded(new RunId(w.run), says);
                default -> marks.withdrawn(new RunId(w.run));
            }
        }

        /** The window of what the disk refused is over: whatever comes after is another query. */
        private void outlive() {
            marks.tryAgain(100);
            if (marks.lost() > 0) {
                wrong.add("what is past its window stays in memory");
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

        // ---- what the marks ask for

        @Override
        public void intend(RunId run, Mark mark, long body, long until) {
            writes.add(new Write("intend", run.value(), "intent " + run.value()));
        }

        @Override
        public void record(RunId run, Mark mark, long body, Known known, byte[] result, long until) {
            writes.add(new Write("record", run.value(), known + " " + (result == null ? 0 : result[0])));
        }

        @Override
        public void withdraw(RunId run, Mark mark) {
            writes.add(new Write("withdraw", run.value(), ""));
        }

        @Override
        public void look(Mark mark) {
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
                String is = Byte.toString(result[0]);
                if (good != null && !good.equals(is)) {
                    wrong.add("answers differ");
                }
                good = is;
            } else if (c.afterGood) {
                wrong.add("an answer that was given is not known any more");
            }
        }

        @Override
        public void otherBody(RunId copy) {
            close(copy);
            wrong.add("one body taken for another");
        }

        @Override
        public void notBegun(RunId copy) {
            close(copy);
        }

        @Override
        public void over(RunId run) {
            // nothing is kept here by run
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

    /** The guards, all of which the exploration must miss when they are off. */
    public static List<Marks.Guard> guards() {
        return Collections.unmodifiableList(List.of(Marks.Guard.values()));
    }
}
