package tallyweir.results;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Compares {@link Marks} with a plain model without rules, on random histories of several keys, bodies and copies. */
class MarksModelTest {
    private static final int MARKS = 4;
    private static final int MOST = 3;
    private static final int EVENTS = 80;

    /** Records the actions asked for, as text. */
    private static final class Said implements Keeping {
        private final List<String> words = new ArrayList<>();

        private List<String> take() {
            List<String> all = new ArrayList<>(words);
            words.clear();
            return all;
        }

        @Override
        public void intend(RunId run, Mark mark, long body, long until) {
            words.add("intend " + run.value());
        }

        @Override
        public void record(RunId run, Mark mark, long body, Known known, byte[] result, long until) {
            words.add("record " + run.value() + " " + known);
        }

        @Override
        public void withdraw(RunId run, Mark mark) {
            words.add("withdraw " + run.value());
        }

        @Override
        public void look(Mark mark) {
            words.add("look " + mark.stamp().value());
        }

        @Override
        public void begin(RunId run) {
            words.add("begin " + run.value());
        }

        @Override
        public void answer(RunId copy, Known known, byte[] result) {
            words.add("answer " + copy.value() + " " + known + " " + (result == null ? "-" : result[0]));
        }

        @Override
        public void otherBody(RunId copy) {
            words.add("other body " + copy.value());
        }

        @Override
        public void notBegun(RunId copy) {
            words.add("not begun " + copy.value());
        }

        @Override
        public void over(RunId run) {
            // only releases memory held elsewhere
        }
    }

    private record Asker(long copy, long body) {}

    /** The state of one key while something is under way for it. */
    private static final class One {
        private String mark;
        private long holder;
        private long body;
        private boolean looking;
        private int intent; // 0 being written, 1 on the disk, -1 write failed
        private boolean wanted;
        private boolean given;
        private boolean begun;
        private boolean withdrawing;
        private boolean recording;
        private boolean lost;
        private Known known; // null until the run has ended
        private byte result;
        private final List<Asker> askers = new ArrayList<>();
    }

    /** The plain model. */
    private static final class Plain {
        private final Map<String, One> now = new HashMap<>();
        private final Map<Long, One> held = new HashMap<>();
        private final List<String> words = new ArrayList<>();

        Verdict read(String mark, long body, boolean onDisk) {
            One x = now.get(mark);
            boolean ending = x != null && !x.looking && (x.withdrawing || x.given && !x.begun);
            if (x != null && !ending) {
                return x.looking || x.body == body ? Verdict.REPEAT : Verdict.OTHER_BODY;
            }
            if (x == null && onDisk) {
                One looking = new One();
                looking.mark = mark;
                looking.looking = true;
                now.put(mark, looking);
                words.add("look " + mark);
                return Verdict.REPEAT;
            }
            return x == null && now.size() >= MOST ? Verdict.NO_ROOM : Verdict.NEW;
        }

        void admit(long copy, String mark, long body) {
            One x = new One();
            x.mark = mark;
            x.holder = copy;
            x.body = body;
            x.askers.add(new Asker(copy, body));
            now.put(mark, x);
            held.put(copy, x);
            words.add("intend " + copy);
        }

        void await(long copy, String mark, long body) {
            One x = now.get(mark);
            x.askers.add(new Asker(copy, body));
            if (x.lost) {
                x.lost = false;
                x.recording = true;
                words.add("record " + x.holder + " " + x.known);
            }
        }

        void leave(long copy) {
            now.values().forEach(x -> x.askers.removeIf(a -> a.copy == copy));
            held.values().forEach(x -> x.askers.removeIf(a -> a.copy == copy));
            One x = held.get(copy);
            if (x != null) {
                x.given |= !x.wanted;
                on(x);
            }
        }

        void on(One x) {
            if (!x.begun && !x.withdrawing && x.intent == -1) {
                notBegun(x);
                drop(x);
            } else if (!x.begun && !x.withdrawing && x.intent == 1 && x.given) {
                x.withdrawing = true;
                boolean replaced = now.get(x.mark) != x;
                if (!replaced) {
                    words.add("withdraw " + x.holder);
                }
                notBegun(x);
                if (replaced) {
                    drop(x);
                }
            } else if (!x.begun && !x.withdrawing && x.intent == 1 && x.wanted) {
                x.begun = true;
                words.add("begin " + x.holder);
            }
        }

        private void notBegun(One x) {
            x.askers.forEach(a -> words.add("not begun " + a.copy));
            x.askers.clear();
        }

        void ended(One x, Known known, byte result) {
            if (x.known == null) {
                x.known = known;
                x.result = result;
                x.recording = true;
                words.add("record " + x.holder + " " + known);
            }
        }

        void recorded(One x, boolean good) {
            x.recording = false;
            if (good) {
                answer(x);
                drop(x);
            } else {
                x.lost = true;
                x.askers.forEach(a -> words.add("answer " + a.copy + " UNKNOWN -"));
                x.askers.clear();
            }
        }

        void answer(One x) {
            for (Asker a : x.askers) {
                words.add(
                        a.body != x.body
                                ? "other body " + a.copy
                                : "answer " + a.copy + " " + x.known + " " + (x.known == Known.GOOD ? x.result : "-"));
            }
            x.askers.clear();
        }

        void drop(One x) {
            now.remove(x.mark, x);
            held.remove(x.holder, x);
        }
    }

    private record OnDisk(long body, Known known, byte result) {}

    private static final class Play {
        private final SplittableRandom chance;
        private final Said said = new Said();
        private final Marks marks;
        private final Plain plain = new Plain();
        private final Map<String, OnDisk> disk = new HashMap<>();
        private final Map<String, Integer> seen = new HashMap<>();
        private final List<String> history = new ArrayList<>();
        private long copies;

        Play(long seed, Set<Marks.Guard> without) {
            marks = new Marks(said, MOST, without);
            chance = new SplittableRandom(seed);
        }

        private static Mark mark(String name) {
            return DurableResultStore.mark("w", name);
        }

        void event() {
            List<One> all = new ArrayList<>(plain.held.values());
            plain.now.values().stream().filter(x -> x.looking).forEach(all::add);
            all.sort((a, b) -> a.mark.equals(b.mark) ? Long.compare(a.holder, b.holder) : a.mark.compareTo(b.mark));
            if (all.isEmpty() || chance.nextInt(3) == 0) {
                read();
            } else {
                on(all.get(chance.nextInt(all.size())));
            }
            List<String> expected = new ArrayList<>(plain.words);
            plain.words.clear();
            List<String> actions = said.take();
            actions.forEach(w -> seen.merge(w.split(" [0-9-]")[0], 1, Integer::sum));
            assertEquals(expected, actions, () -> String.join("\n", history));
            assertEquals(plain.now.size(), marks.size(), () -> String.join("\n", history));
        }

        private void read() {
            long copy = ++copies;
            String name = "m" + chance.nextInt(MARKS);
            long body = chance.nextInt(5) == 0 ? 8 : 7;
            history.add("read " + copy + " " + name + " " + body);
            Verdict v = marks.read(new RunId(copy), mark(name), body, disk.containsKey(name));
            assertEquals(plain.read(name, body, disk.containsKey(name)), v, () -> String.join("\n", history));
            seen.merge(v.name(), 1, Integer::sum);
            if (v == Verdict.REPEAT) {
                marks.await(new RunId(copy), mark(name), body);
                plain.await(copy, name, body);
            } else if (v == Verdict.NEW && chance.nextInt(5) > 0) {
                marks.admit(new RunId(copy), mark(name), body, 100);
                plain.admit(copy, name, body);
            }
        }

        private void on(One x) {
            if (x.looking) {
                show(x);
                return;
            }
            RunId run = new RunId(x.holder);
            int what = chance.nextInt(6);
            history.add(x.mark + " " + x.holder + " event " + what);
            if (what == 0) {
                x.wanted = true;
                marks.want(run);
                plain.on(x);
            } else if (what == 1) {
                x.given = true;
                marks.giveUp(run);
                plain.on(x);
            } else if (what == 2) {
                List<Asker> waiting = x.askers;
                long who = waiting.isEmpty() ? x.holder : waiting.get(chance.nextInt(waiting.size())).copy;
                marks.leave(new RunId(who));
                plain.leave(who);
            } else if (x.withdrawing) {
                if (disk.get(x.mark) == null) {
                    marks.withdrawn(run);
                    plain.drop(x);
                }
            } else if (x.intent == 0) {
                boolean good = chance.nextInt(4) > 0;
                x.intent = good ? 1 : -1;
                marks.intended(run, good);
                plain.on(x);
            } else if (x.recording) {
                boolean good = chance.nextInt(4) > 0;
                if (good) {
                    disk.put(x.mark, new OnDisk(x.body, x.known, x.result));
                }
                marks.recorded(run, good);
                plain.recorded(x, good);
            } else if (x.begun && x.known == null) {
                Known known = Known.values()[chance.nextInt(3)];
                byte result = (byte) chance.nextInt(100);
                marks.ended(run, known, new byte[] {result});
                plain.ended(x, known, result);
            }
        }

        private void show(One x) {
            history.add(x.mark + " shown");
            if (chance.nextInt(6) == 0) {
                marks.lookFailed(mark(x.mark));
                x.askers.forEach(a -> plain.words.add("answer " + a.copy + " UNKNOWN -"));
            } else {
                OnDisk d = disk.get(x.mark);
                marks.looked(mark(x.mark), d.body, d.known, d.known == Known.GOOD ? new byte[] {d.result} : null);
                x.body = d.body;
                x.known = d.known;
                x.result = d.result;
                plain.answer(x);
            }
            plain.drop(x);
        }
    }

    @Property(tries = 4_000, seed = "20261201", shrinking = ShrinkingMode.OFF)
    void theMarksDoWhatAPlainModelDoes(@ForAll long seed) {
        Play p = new Play(seed, Set.of());
        for (int i = 0; i < EVENTS; i++) {
            p.event();
        }
    }

    @ParameterizedTest
    @EnumSource(value = Marks.Guard.class, mode = EnumSource.Mode.EXCLUDE, names = "RESTART")
    void withoutOneGuardTheModelIsNotFollowed(Marks.Guard guard) {
        assertThrows(AssertionError.class, () -> {
            for (long seed = 0; seed < 300; seed++) {
                Play p = new Play(seed, Set.of(guard));
                for (int i = 0; i < EVENTS; i++) {
                    p.event();
                }
            }
        });
    }

    /** The random histories must reach every verdict and action, or the comparison would show little. */
    @Test
    void theHistoriesReachEverything() {
        Map<String, Integer> seen = new HashMap<>();
        for (long seed = 0; seed < 200; seed++) {
            Play p = new Play(seed, Set.of());
            for (int i = 0; i < EVENTS; i++) {
                p.event();
            }
            p.seen.forEach((k, n) -> seen.merge(k, n, Integer::sum));
        }
        for (String what : List.of(
                "NEW",
                "REPEAT",
                "OTHER_BODY",
                "NO_ROOM",
                "intend",
                "record",
                "withdraw",
                "look m",
                "begin",
                "answer",
                "other body",
                "not begun")) {
            assertTrue(seen.keySet().stream().anyMatch(k -> k.startsWith(what)), what + " was never reached: " + seen);
        }
    }
}
