package tallyweir.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import tallyweir.fleet.table.Change;
import tallyweir.fleet.table.Key;
import tallyweir.fleet.table.Kind;
import tallyweir.fleet.table.Table;
import tallyweir.fleet.table.Value;
import tallyweir.ids.TenantId;

/** The replicated state by its public answers: revisions, stragglers, slots, snapshots. Times are tenths of a millisecond. */
class StateTest {
    private static final TenantId TENANT = new TenantId("t");
    private static final long LEASE = 1_000;
    private static final long TAIL = 500;
    private static final long MAX_LAG = 2_000;
    private static final long PROBATION = 3_000;

    private State state = new State();
    private long now;
    private RevisionId done;
    private Fault fault;
    private Incarnation incarnation;
    private long lease;
    private RevisionRoot wanted;
    private RevisionRoot toCheck;
    private Map<TenantId, Grant> shares;
    private final Incarnation[] incarnations = new Incarnation[8];
    private final long[] numbers = new long[8];
    private final long[] ended = new long[8];
    private final long[] bad = new long[8];

    /** Applies a command and stores the parts of its answer in the fields. */
    private void apply(Command command) {
        Answer answer = state.apply(command);
        fault = null;
        if (answer instanceof Answer.Joined joined) {
            incarnation = joined.incarnation();
        } else if (answer instanceof Answer.ReportAccepted told) {
            lease = told.leaseDuration();
            wanted = told.inForce();
            toCheck = told.proposed();
            shares = told.grants();
        } else if (answer instanceof Answer.Done d) {
            done = d.revision();
        } else if (answer instanceof Answer.Refused refused) {
            fault = refused.fault();
        }
    }

    @BeforeEach
    void found() {
        apply(new Command.CreateFleet(
                "f", new FleetSettings(1, LEASE, TAIL, 10 * LEASE, MAX_LAG, 0, 0.5, 0.25, 6, 0, PROBATION, 2, 0.5)));
    }

    private void at(long now) {
        this.now = now;
        state.clock(now, now / 10);
    }

    private void join(int i) {
        apply(new Command.Join("f", new ServerId("s" + i), "at" + i, 1));
        if (fault == null) {
            incarnations[i] = incarnation;
            numbers[i] = 0;
        }
    }

    private void report(int i, long applied, String digest, long checked, String cannot, Map<TenantId, Need> needs) {
        apply(new Command.Report(
                new ServerId("s" + i),
                incarnations[i],
                ++numbers[i],
                new RevisionId(applied),
                new Digest(digest),
                0,
                new RevisionId(checked),
                cannot,
                ended[i],
                bad[i],
                needs));
    }

    private void reportApplied(int i, long applied) {
        report(i, applied, applied == 0 ? "" : digest(applied), state.proposed().value(), "", Map.of());
    }

    private String digest(long revision) {
        return state.revision(new RevisionId(revision)).root().value();
    }

    private static final Key KEY = new Key(Kind.CAP, TENANT.value());

    private static Table table(int cap) {
        return Table.EMPTY.apply(List.of(new Change(KEY, Optional.empty(), Optional.of(new Value.Cap(cap)))));
    }

    private static String root(int cap) {
        return table(cap).root().value();
    }

    private void publish(String command, long expected, int cap) {
        apply(new Command.Publish(
                new OperatorCommandId(command),
                new RevisionId(expected),
                state.table(new RevisionId(expected)).differenceTo(table(cap)),
                "ann",
                "",
                false));
    }

    private void rollback(String command, long expected, long to, String by, String why) {
        apply(new Command.Rollback(
                new OperatorCommandId(command), new RevisionId(expected), new RevisionId(to), by, why, false));
    }

    private ServerRecord server(int i) {
        return state.servers().stream()
                .filter(s -> s.server().value().equals("s" + i))
                .findFirst()
                .orElseThrow();
    }

    private void joinAndAdmit(int servers) {
        for (int i = 0; i < servers; i++) {
            join(i);
            reportApplied(i, state.inForce().value());
            assertTrue(lease > 0, "the server has a lease");
        }
    }

    @Test
    void revisionComesIntoForceOnceEveryLiveServerAcceptsIt() {
        joinAndAdmit(3);
        publish("c1", 0, 5);
        assertEquals(1, done.value());
        reportApplied(0, 0);
        reportApplied(1, 0);
        assertEquals(0, state.inForce().value(), "one server has not answered");
        reportApplied(2, 0);
        assertEquals(1, state.inForce().value());
        publish("c1", 0, 5);
        assertEquals(1, done.value(), "the same command, sent again");
        publish("c2", 0, 6);
        assertEquals(1, ((Fault.LostRace) fault).found());
    }

    @Test
    void revisionRejectedByTooManyServersIsTurnedDownWithReasons() {
        joinAndAdmit(3);
        publish("c1", 0, 5);
        report(0, 0, "", 1, "its store is unknown here", Map.of());
        reportApplied(1, 0);
        reportApplied(2, 0);
        assertEquals(Revision.Fate.TURNED_DOWN, state.revision(done).fate());
        assertTrue(
                state.revision(done).rejectionReasons().contains("s0: its store is unknown here"),
                state.revision(done).rejectionReasons());
        rollback("c2", 0, done.value(), "bob", "");
        assertInstanceOf(Fault.NoSuchRevision.class, fault);
        publish("c3", 0, 6);
        assertEquals(2, done.value(), "its number is not used again");
    }

    @Test
    void rollbackCreatesNewRevision() {
        for (int r = 1; r <= 20; r++) {
            publish("c" + r, r - 1, r % 3);
        }
        rollback("back", 20, 2, "bob", "worse");
        assertEquals(21, state.inForce().value());
        assertEquals(Map.of(TENANT, 2), state.caps());
        assertEquals(2, state.revision(done).restoredFrom().value());
        rollback("late", 20, 3, "eve", "");
        assertEquals("bob", ((Fault.LostRace) fault).author());
    }

    @Test
    void stragglerIsShutOutAndReturnsAsNewIncarnation() {
        joinAndAdmit(4);
        publish("c1", 0, 5);
        for (int i = 0; i < 4; i++) {
            reportApplied(i, 0);
        }
        for (long t = 100; t <= MAX_LAG; t += 100) {
            at(t);
            for (int i = 0; i < 4; i++) {
                if (i > 0 || fault == null) {
                    reportApplied(i, i == 0 ? 0 : 1);
                }
            }
        }
        assertEquals(ServerRecord.Status.OUT, server(0).status());
        reportApplied(0, 1);
        long returnDelay = ((Fault.ShutOut) fault).returnDelayTenthsMs();
        join(0);
        assertInstanceOf(Fault.NotYet.class, fault);
        at(now + returnDelay + 100);
        Incarnation before = incarnations[0];
        join(0);
        assertFalse(before.equals(incarnations[0]));
        reportApplied(0, 0);
        assertEquals(0, lease, "not a member while it is behind");
        reportApplied(0, 1);
        assertTrue(lease > 0);
        assertEquals(ServerRecord.Status.LIVE, server(0).status());
        apply(new Command.Report(
                new ServerId("s0"),
                before,
                99,
                new RevisionId(1),
                new Digest(root(5)),
                0,
                RevisionId.NONE,
                "",
                0,
                0,
                Map.of()));
        assertInstanceOf(Fault.ShutOut.class, fault, "a report of an earlier incarnation");
    }

    @Test
    void serverWithDigestMismatchIsFlaggedThenShutOut() {
        joinAndAdmit(3);
        publish("c1", 0, 5);
        for (int i = 0; i < 3; i++) {
            reportApplied(i, 0);
        }
        reportApplied(0, 1);
        reportApplied(1, 1);
        report(2, 1, "other", 1, "", Map.of());
        assertTrue(server(2).digestMismatch());
        assertFalse(server(1).digestMismatch());
        for (long t = 100; t <= MAX_LAG; t += 100) {
            at(t);
            reportApplied(0, 1);
            reportApplied(1, 1);
            report(2, 1, "other", 1, "", Map.of());
        }
        assertEquals(ServerRecord.Status.OUT, server(2).status());
        assertTrue(
                server(2).cause().contains("not what revision 1 says"),
                server(2).cause());
    }

    @Test
    void shutOutIsLimitedToConfiguredShareAndTheRestAreMarked() {
        joinAndAdmit(4);
        at(LEASE + 1);
        apply(new Command.Tick());
        assertEquals(2, state.out());
        assertEquals(2, state.servers().stream().filter(ServerRecord::marked).count());
        for (int i = 0; i < 4; i++) {
            if (server(i).status() == ServerRecord.Status.LIVE) {
                reportApplied(i, 0);
                assertTrue(lease > 0 && !server(i).marked(), "a server that was only marked continues");
            }
        }
    }

    @Test
    void lostServersGrantsAreLentAgainOnlyAfterLeaseAndTail() {
        joinAndAdmit(2);
        publish("c1", 0, 4);
        reportApplied(0, 0);
        reportApplied(1, 0);
        report(0, 1, root(4), 1, "", Map.of(TENANT, new Need(0, 4)));
        assertEquals(4, shares.get(TENANT).granted());
        for (long t = 100; t < LEASE + TAIL; t += 100) {
            at(t);
            report(1, 1, root(4), 1, "", Map.of(TENANT, new Need(0, 4)));
            assertEquals(0, shares.get(TENANT).granted(), "at " + t);
        }
        at(LEASE + TAIL);
        report(1, 1, root(4), 1, "", Map.of(TENANT, new Need(0, 4)));
        assertEquals(4, shares.get(TENANT).granted());
    }

    @Test
    void newProcessAtSameAddressReleasesGrants() {
        joinAndAdmit(2);
        publish("c1", 0, 4);
        reportApplied(0, 0);
        reportApplied(1, 0);
        report(0, 1, root(4), 1, "", Map.of(TENANT, new Need(0, 4)));
        apply(new Command.Join("f", new ServerId("s0"), "elsewhere", 2));
        assertEquals("at0", ((Fault.NameTaken) fault).listenAddress());
        apply(new Command.Join("f", new ServerId("s0"), "at0", 2));
        report(1, 1, root(4), 1, "", Map.of(TENANT, new Need(0, 4)));
        assertEquals(4, shares.get(TENANT).granted());
    }

    /**
     * Runs four servers whose queries end badly at random, with a second revision published halfway.
     *
     * @param before percentage of bad queries under the first revision
     * @param after percentage under the second
     * @return the revision in force at the end
     */
    private long revisionAfterRandomQueries(long seed, int before, int after) {
        state = new State();
        found();
        SplittableRandom random = new SplittableRandom(seed);
        joinAndAdmit(4);
        publish("c1", 0, 5);
        int share = before;
        for (long t = 100; t < 4 * PROBATION; t += 100) {
            at(t);
            for (int i = 0; i < 4; i++) {
                for (int q = random.nextInt(8); q > 0; q--) {
                    ended[i]++;
                    bad[i] += random.nextInt(100) < share ? 1 : 0;
                }
                reportApplied(i, state.inForce().value());
            }
            if (t == 2 * PROBATION) {
                publish("c2", 1, 6);
            }
            share = state.inForce().value() == 2 ? after : before;
        }
        return state.inForce().value();
    }

    @Test
    void harmfulRevisionIsRolledBackOnceAndHarmlessOneNever() {
        for (long seed = 0; seed < 20; seed++) {
            assertEquals(2, revisionAfterRandomQueries(seed, 2, 2), "no more bad queries, seed " + seed);
            assertEquals(2, revisionAfterRandomQueries(seed, 20, 20), "as bad as before, seed " + seed);
            assertEquals(3, revisionAfterRandomQueries(seed, 2, 30), "more bad queries, seed " + seed);
            Revision back = state.revision(state.inForce());
            assertEquals("probation", back.author());
            assertEquals(1, back.restoredFrom().value());
            assertEquals(3, state.revisions().size(), "once");
        }
    }

    @Test
    void delayedJoinDoesNotReleaseGrantsOfNewerProcess() {
        joinAndAdmit(2);
        publish("c1", 0, 4);
        reportApplied(0, 0);
        reportApplied(1, 0);
        apply(new Command.Join("f", new ServerId("s0"), "at0", 5));
        incarnations[0] = incarnation;
        numbers[0] = 0;
        report(0, 1, root(4), 1, "", Map.of(TENANT, new Need(0, 4)));
        assertEquals(4, shares.get(TENANT).granted());
        for (long late : new long[] {5, 3}) { // its own join repeated, and one of an earlier process
            apply(new Command.Join("f", new ServerId("s0"), "at0", late));
            report(1, 1, root(4), 1, "", Map.of(TENANT, new Need(0, 4)));
            assertEquals(0, shares.get(TENANT).granted(), "generation " + late);
        }
    }

    @Test
    void strangersAndExcessServersAreRefused() {
        apply(new Command.Join("g", new ServerId("x"), "at", 1));
        assertEquals("f", ((Fault.Stranger) fault).thisFleet());
        for (int i = 0; i < 6; i++) {
            join(i);
            assertEquals(null, fault);
        }
        join(6);
        assertInstanceOf(Fault.NoPlace.class, fault);
        apply(new Command.Leave(new ServerId("s3"), incarnations[3]));
        join(6);
        assertEquals(null, fault, "a server that leaves in order frees its slot at once");
    }

    @Test
    void loadedSnapshotBehavesLikeOriginalState() {
        joinAndAdmit(4);
        publish("c1", 0, 10);
        for (int i = 0; i < 4; i++) {
            report(i, 0, "", 1, "", Map.of());
            report(i, 1, root(10), 1, "", Map.of(TENANT, new Need(0, 6)));
        }
        publish("c2", 1, 7);
        reportApplied(0, 1);
        State other = new State();
        other.load(parts(state).iterator());
        for (int turn = 0; turn < 40; turn++) {
            assertEquals(parts(state), parts(other), "after " + turn);
            State one = state;
            long[] savedNumbers = numbers.clone();
            reportInTurn(turn);
            state = other;
            System.arraycopy(savedNumbers, 0, numbers, 0, savedNumbers.length);
            reportInTurn(turn);
            state = one;
        }
        assertTrue(state.out() > 0 && state.inForce().value() == 2, "the run covers shut-outs and a new revision");
    }

    private void reportInTurn(int turn) {
        at(1_000L + turn * 110);
        int i = 1 + turn % 3;
        report(
                i,
                turn < 10 ? 1 : 2,
                turn < 10 ? root(10) : root(7),
                2,
                "",
                Map.of(TENANT, new Need(turn % 3, turn % 7)));
    }

    private static List<SnapshotPart> parts(State of) {
        List<SnapshotPart> parts = new ArrayList<>();
        of.save(parts::add);
        return parts;
    }
}
