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

/** Compares {@link IdempotencyTracker} with a plain model without rules, on random histories of several keys, bodies and copies. */
class IdempotencyTrackerModelTest {
    private static final int KEYS = 4;
    private static final int MAX_ENTRIES = 3;
    private static final int EVENTS = 80;

    /** Records the actions asked for, as text. */
    private static final class ActionLog implements IdempotencyActions {
        private final List<String> actions = new ArrayList<>();

        private List<String> take() {
            List<String> all = new ArrayList<>(actions);
            actions.clear();
            return all;
        }

        @Override
        public void recordIntent(RunId run, IdempotencyKey mark, long body, long until) {
            actions.add("intend " + run.value());
        }

        @Override
        public void record(RunId run, IdempotencyKey mark, long body, Known known, byte[] result, long until) {
            actions.add("record " + run.value() + " " + known);
        }

        @Override
        public void deleteIntent(RunId run, IdempotencyKey mark) {
            actions.add("withdraw " + run.value());
        }

        @Override
        public void readRecord(IdempotencyKey mark) {
            actions.add("look " + mark.stamp().value());
        }

        @Override
        public void startRun(RunId run) {
            actions.add("begin " + run.value());
        }

        @Override
        public void answer(RunId copy, Known known, byte[] result) {
            actions.add("answer " + copy.value() + " " + known + " " + (result == null ? "-" : result[0]));
        }

        @Override
        public void refuseOtherBody(RunId copy) {
            actions.add("other body " + copy.value());
        }

        @Override
        public void deferNotStarted(RunId copy) {
            actions.add("not begun " + copy.value());
        }

        @Override
        public void release(RunId run) {
            // only releases memory held elsewhere
        }
    }

    private record Waiter(long copy, long body) {}

    /** The state of one key while something is under way for it. */
    private static final class ModelEntry {
        private String key;
        private long run;
        private long body;
        private boolean reading;
        private int intent; // 0 being written, 1 on the disk, -1 write failed
        private boolean startRequested;
        private boolean givenUp;
        private boolean started;
        private boolean deletingIntent;
        private boolean recording;
        private boolean notRecorded;
        private Known known; // null until the run has ended
        private byte result;
        private final List<Waiter> waiters = new ArrayList<>();
    }

    /** The plain model. */
    private static final class PlainModel {
        private final Map<String, ModelEntry> entries = new HashMap<>();
        private final Map<Long, ModelEntry> entriesByRun = new HashMap<>();
        private final List<String> actions = new ArrayList<>();

        Verdict read(String mark, long body, boolean onDisk) {
            ModelEntry x = entries.get(mark);
            boolean ending = x != null && !x.reading && (x.deletingIntent || x.givenUp && !x.started);
            if (x != null && !ending) {
                return x.reading || x.body == body ? Verdict.REPEAT : Verdict.OTHER_BODY;
            }
            if (x == null && onDisk) {
                ModelEntry looking = new ModelEntry();
                looking.key = mark;
                looking.reading = true;
                entries.put(mark, looking);
                actions.add("look " + mark);
                return Verdict.REPEAT;
            }
            return x == null && entries.size() >= MAX_ENTRIES ? Verdict.NO_ROOM : Verdict.NEW;
        }

        void admit(long copy, String mark, long body) {
            ModelEntry x = new ModelEntry();
            x.key = mark;
            x.run = copy;
            x.body = body;
            x.waiters.add(new Waiter(copy, body));
            entries.put(mark, x);
            entriesByRun.put(copy, x);
            actions.add("intend " + copy);
        }

        void await(long copy, String mark, long body) {
            ModelEntry x = entries.get(mark);
            x.waiters.add(new Waiter(copy, body));
            if (x.notRecorded) {
                x.notRecorded = false;
                x.recording = true;
                actions.add("record " + x.run + " " + x.known);
            }
        }

        void leave(long copy) {
            entries.values().forEach(x -> x.waiters.removeIf(a -> a.copy == copy));
            entriesByRun.values().forEach(x -> x.waiters.removeIf(a -> a.copy == copy));
            ModelEntry x = entriesByRun.get(copy);
            if (x != null) {
                x.givenUp |= !x.startRequested;
                advance(x);
            }
        }

        void advance(ModelEntry x) {
            if (!x.started && !x.deletingIntent && x.intent == -1) {
                notBegun(x);
                drop(x);
            } else if (!x.started && !x.deletingIntent && x.intent == 1 && x.givenUp) {
                x.deletingIntent = true;
                boolean replaced = entries.get(x.key) != x;
                if (!replaced) {
                    actions.add("withdraw " + x.run);
                }
                notBegun(x);
                if (replaced) {
                    drop(x);
                }
            } else if (!x.started && !x.deletingIntent && x.intent == 1 && x.startRequested) {
                x.started = true;
                actions.add("begin " + x.run);
            }
        }

        void neverBegan(ModelEntry x) {
            x.deletingIntent = true;
            actions.add("withdraw " + x.run);
            notBegun(x);
        }

        private void notBegun(ModelEntry x) {
            x.waiters.forEach(a -> actions.add("not begun " + a.copy));
            x.waiters.clear();
        }

        void ended(ModelEntry x, Known known, byte result) {
            if (x.known == null) {
                x.known = known;
                x.result = result;
                x.recording = true;
                actions.add("record " + x.run + " " + known);
            }
        }

        void recorded(ModelEntry x, boolean good) {
            x.recording = false;
            if (good) {
                answer(x);
                drop(x);
            } else {
                x.notRecorded = true;
                x.waiters.forEach(a -> actions.add("answer " + a.copy + " UNKNOWN -"));
                x.waiters.clear();
            }
        }

        void answer(ModelEntry x) {
            for (Waiter a : x.waiters) {
                actions.add(
                        a.body != x.body
                                ? "other body " + a.copy
                                : "answer " + a.copy + " " + x.known + " " + (x.known == Known.GOOD ? x.result : "-"));
            }
            x.waiters.clear();
        }

        void drop(ModelEntry x) {
            entries.remove(x.key, x);
            entriesByRun.remove(x.run, x);
        }
    }

    private record OnDisk(long body, Known known, byte result) {}

    private static final class RandomHistory {
        private final SplittableRandom random;
        private final ActionLog actionLog = new ActionLog();
        private final IdempotencyTracker tracker;
        private final PlainModel model = new PlainModel();
        private final Map<String, OnDisk> disk = new HashMap<>();
        private final Map<String, Integer> seen = new HashMap<>();
        private final List<String> history = new ArrayList<>();
        private long copies;

        RandomHistory(long seed, Set<IdempotencyTracker.Guard> without) {
            tracker = new IdempotencyTracker(actionLog, MAX_ENTRIES, without);
            random = new SplittableRandom(seed);
        }

        private static IdempotencyKey key(String name) {
            return DurableResultStore.idempotencyKey("w", name);
        }

        void event() {
            List<ModelEntry> all = new ArrayList<>(model.entriesByRun.values());
            model.entries.values().stream().filter(x -> x.reading).forEach(all::add);
            all.sort((a, b) -> a.key.equals(b.key) ? Long.compare(a.run, b.run) : a.key.compareTo(b.key));
            if (all.isEmpty() || random.nextInt(3) == 0) {
                read();
            } else {
                changeEntry(all.get(random.nextInt(all.size())));
            }
            List<String> expected = new ArrayList<>(model.actions);
            model.actions.clear();
            List<String> actions = actionLog.take();
            actions.forEach(w -> seen.merge(w.split(" [0-9-]")[0], 1, Integer::sum));
            assertEquals(expected, actions, () -> String.join("\n", history));
            assertEquals(model.entries.size(), tracker.size(), () -> String.join("\n", history));
        }

        private void read() {
            long copy = ++copies;
            String name = "m" + random.nextInt(KEYS);
            long body = random.nextInt(5) == 0 ? 8 : 7;
            history.add("read " + copy + " " + name + " " + body);
            Verdict v = tracker.onCopyRead(new RunId(copy), key(name), body, disk.containsKey(name));
            assertEquals(model.read(name, body, disk.containsKey(name)), v, () -> String.join("\n", history));
            seen.merge(v.name(), 1, Integer::sum);
            if (v == Verdict.REPEAT) {
                tracker.awaitOutcome(new RunId(copy), key(name), body);
                model.await(copy, name, body);
            } else if (v == Verdict.NEW && random.nextInt(5) > 0) {
                tracker.admit(new RunId(copy), key(name), body, 100);
                model.admit(copy, name, body);
            }
        }

        private void changeEntry(ModelEntry x) {
            if (x.reading) {
                finishRead(x);
                return;
            }
            RunId run = new RunId(x.run);
            int what = random.nextInt(6);
            history.add(x.key + " " + x.run + " event " + what);
            if (what == 0) {
                x.startRequested = true;
                tracker.requestStart(run);
                model.advance(x);
            } else if (what == 1) {
                x.givenUp = true;
                tracker.giveUp(run);
                model.advance(x);
            } else if (what == 2) {
                List<Waiter> waiting = x.waiters;
                long who = waiting.isEmpty() ? x.run : waiting.get(random.nextInt(waiting.size())).copy;
                tracker.onDisconnected(new RunId(who));
                model.leave(who);
            } else if (x.deletingIntent) {
                if (disk.get(x.key) == null) {
                    tracker.onIntentDeleted(run);
                    model.drop(x);
                }
            } else if (x.intent == 0) {
                boolean good = random.nextInt(4) > 0;
                x.intent = good ? 1 : -1;
                tracker.onIntentRecorded(run, good);
                model.advance(x);
            } else if (x.recording) {
                boolean good = random.nextInt(4) > 0;
                if (good) {
                    disk.put(x.key, new OnDisk(x.body, x.known, x.result));
                }
                tracker.onOutcomeRecorded(run, good);
                model.recorded(x, good);
            } else if (x.started && x.known == null && random.nextInt(5) == 0) {
                tracker.onNeverBegan(run);
                model.neverBegan(x);
            } else if (x.started && x.known == null) {
                Known known = Known.values()[random.nextInt(3)];
                byte result = (byte) random.nextInt(100);
                tracker.onRunEnded(run, known, new byte[] {result});
                model.ended(x, known, result);
            }
        }

        private void finishRead(ModelEntry x) {
            history.add(x.key + " shown");
            if (random.nextInt(6) == 0) {
                tracker.onReadFailed(key(x.key));
                x.waiters.forEach(a -> model.actions.add("answer " + a.copy + " UNKNOWN -"));
            } else {
                OnDisk d = disk.get(x.key);
                tracker.onRecordRead(key(x.key), d.body, d.known, d.known == Known.GOOD ? new byte[] {d.result} : null);
                x.body = d.body;
                x.known = d.known;
                x.result = d.result;
                model.answer(x);
            }
            model.drop(x);
        }
    }

    @Property(tries = 4_000, seed = "20261201", shrinking = ShrinkingMode.OFF)
    void trackerBehavesLikePlainModel(@ForAll long seed) {
        RandomHistory p = new RandomHistory(seed, Set.of());
        for (int i = 0; i < EVENTS; i++) {
            p.event();
        }
    }

    @ParameterizedTest
    @EnumSource(value = IdempotencyTracker.Guard.class, mode = EnumSource.Mode.EXCLUDE, names = "RESTART")
    void trackerDiffersFromModelWithoutOneGuard(IdempotencyTracker.Guard guard) {
        assertThrows(AssertionError.class, () -> {
            for (long seed = 0; seed < 300; seed++) {
                RandomHistory p = new RandomHistory(seed, Set.of(guard));
                for (int i = 0; i < EVENTS; i++) {
                    p.event();
                }
            }
        });
    }

    /** The random histories must reach every verdict and action, or the comparison would show little. */
    @Test
    void randomHistoriesReachEveryVerdictAndAction() {
        Map<String, Integer> seen = new HashMap<>();
        for (long seed = 0; seed < 200; seed++) {
            RandomHistory p = new RandomHistory(seed, Set.of());
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
