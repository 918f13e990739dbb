package tallyweir.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import tallyweir.fleet.table.Change;
import tallyweir.fleet.table.Table;

/** Compares changes, whole revisions and rollbacks of several operators in random order with a plain, slow model. */
class ChangeEntriesModelTest {
    private static final int TENANTS = 6;
    private static final int UNACCEPTABLE_CAP = 9; // a cap that no server accepts
    private static final int STEPS = 120;

    private SplittableRandom random;
    private TestFleet fleet;
    private PlainChanges model;
    private List<String> acceptedCommands;

    @Property(tries = 200, seed = "11")
    void everyCommandHasTheOutcomeOfTheModel(@ForAll long seed) {
        random = new SplittableRandom(seed);
        fleet = new TestFleet(1, Set.of());
        fleet.accepts(ChangeEntriesModelTest::canTake);
        model = new PlainChanges();
        acceptedCommands = new ArrayList<>();
        for (int step = 0; step < STEPS; step++) {
            fleet.at(step);
            step(step);
            compare(step);
        }
    }

    private static boolean canTake(Table table) {
        return tenants().stream()
                .noneMatch(tenant -> table.get(TestFleet.cap(tenant)).equals(TestFleet.value(UNACCEPTABLE_CAP)));
    }

    private static List<String> tenants() {
        List<String> all = new ArrayList<>();
        for (int i = 0; i < TENANTS; i++) {
            all.add("t" + i);
        }
        return all;
    }

    private void step(int step) {
        String command = "c" + step;
        String by = "op" + random.nextInt(4);
        int kind = random.nextInt(10);
        if (kind < 6) {
            change(command, by);
        } else if (kind == 6) {
            publish(command, by);
        } else if (kind == 7) {
            int to = random.nextInt(0, model.revisions() + 2);
            int expected = expected();
            assertAnswer(command, model.rollback(command, by, expected, to), fleet.rollback(command, by, expected, to));
        } else if (kind == 8) {
            report();
        } else {
            fleet.reload(Set.of());
        }
    }

    private void change(String command, String by) {
        Map<String, Integer> before = new TreeMap<>();
        Map<String, Integer> after = new TreeMap<>();
        for (int i = random.nextInt(1, 3); i > 0; i--) {
            String tenant = "t" + random.nextInt(TENANTS);
            int seen = model.inForce().getOrDefault(tenant, -1);
            before.put(tenant, random.nextInt(8) == 0 ? seen + 1 : seen);
            after.put(tenant, value());
        }
        Change[] changes = before.keySet().stream()
                .map(tenant -> TestFleet.change(tenant, before.get(tenant), after.get(tenant)))
                .toArray(Change[]::new);
        String expected = model.change(new PlainChanges.ChangeRequest(command, by, before, after));
        assertAnswer(command, expected, fleet.change(command, by, changes));
    }

    private int value() {
        int value = random.nextInt(-1, 8);
        return random.nextInt(12) == 0 ? UNACCEPTABLE_CAP : value;
    }

    private int expected() {
        return random.nextInt(5) == 0 ? Math.max(0, model.inForceNumber() - 1) : model.inForceNumber();
    }

    private void publish(String command, String by) {
        Map<String, Integer> caps = new TreeMap<>();
        for (String tenant : tenants()) {
            int value = value();
            if (value >= 0) {
                caps.put(tenant, value);
            }
        }
        int expected = expected();
        Table base = fleet.state().table(new RevisionId(expected));
        Change[] changes =
                base == null ? new Change[0] : base.differenceTo(table(caps)).toArray(Change[]::new);
        assertAnswer(
                command, model.publish(command, by, expected, caps), fleet.publish(command, by, expected, changes));
    }

    private static Table table(Map<String, Integer> caps) {
        return Table.EMPTY.apply(caps.entrySet().stream()
                .map(cap -> TestFleet.change(cap.getKey(), -1, cap.getValue()))
                .toList());
    }

    private void report() {
        if (model.isProposed()) {
            model.decide(canTake(table(model.proposedCaps())));
        }
        fleet.report(0);
    }

    private void assertAnswer(String command, String expected, Answer answer) {
        assertEquals(expected, text(answer), command);
        if (!(answer instanceof Answer.Refused)) {
            acceptedCommands.add(command);
        }
    }

    private static String text(Answer answer) {
        if (answer instanceof Answer.Done done) {
            return "done " + done.revision().value();
        } else if (answer instanceof Answer.Waiting waiting) {
            return "waiting " + waiting.ahead();
        }
        Fault why = ((Answer.Refused) answer).fault();
        if (why instanceof Fault.KeyConflict conflict) {
            return "conflict " + conflict.key().replace("CAP ", "") + " " + conflict.author();
        } else if (why instanceof Fault.LostRace race) {
            return "race " + race.author();
        } else if (why instanceof Fault.CannotTake cannot) {
            return "cannot " + cannot.revision();
        }
        return why instanceof Fault.NoSuchRevision ? "no such" : why.toString();
    }

    private void compare(int step) {
        Table inForce = fleet.state().table(fleet.state().inForce());
        assertEquals(table(model.inForce()).root(), inForce.root(), "after step " + step);
        assertEquals(model.revisions(), fleet.state().revisions().size(), "after step " + step);
        for (String command : acceptedCommands) {
            // A command with a known name only returns the outcome of the first command of that name.
            assertEquals(model.outcome(command), text(fleet.change(command, "again")), command + " after step " + step);
        }
    }
}
