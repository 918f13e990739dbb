package tallyweir.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static tallyweir.fleet.TestFleet.change;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import tallyweir.fleet.table.Change;
import tallyweir.fleet.table.Table;

/** Changes of entries by several operators: conditions on keys, the queue, and the outcome of each change. */
class ChangeEntriesTest {
    private TestFleet fleet = new TestFleet(3, Set.of());

    private static Answer done(long revision) {
        return new Answer.Done(new RevisionId(revision));
    }

    private static <T extends Fault> T fault(Class<T> kind, Answer answer) {
        return assertInstanceOf(
                kind, assertInstanceOf(Answer.Refused.class, answer).fault());
    }

    private static Fault.KeyConflict conflict(String tenant, String by, long atMs) {
        return new Fault.KeyConflict("CAP " + tenant, by, atMs);
    }

    @Test
    void changesOfDifferentEntriesByTwoOperatorsBothTakeEffect() {
        fleet.at(10);
        assertEquals(done(1), fleet.change("c1", "ann", change("a", -1, 5)));
        assertEquals(new Answer.Waiting(0), fleet.change("c2", "bob", change("b", -1, 6)));
        assertEquals(new Answer.Waiting(1), fleet.change("c3", "eve", change("c", -1, 7), change("d", -1, 8)));
        assertEquals(-1, fleet.inForce("a"));
        fleet.reportAll();
        assertEquals(5, fleet.inForce("a"));
        assertEquals(-1, fleet.inForce("b"));
        assertEquals(done(2), fleet.change("c2", "bob", change("b", -1, 6)));
        assertEquals(done(2), fleet.change("c3", "eve", change("c", -1, 7), change("d", -1, 8)));
        fleet.reportAll();
        assertEquals(
                List.of(5, 6, 7, 8),
                List.of("a", "b", "c", "d").stream().map(fleet::inForce).toList());
        assertEquals(2, fleet.state().revisions().size());
    }

    @Test
    void theSecondOfTwoOperatorsOnOneEntryIsToldWhoWasFirstAndWhen() {
        fleet.at(70);
        fleet.change("c1", "ann", change("a", -1, 5));
        fleet.at(80);
        fleet.change("c2", "bob", change("b", -1, 6));
        fleet.at(90);
        assertEquals(
                conflict("a", "ann", 7), fault(Fault.KeyConflict.class, fleet.change("c3", "eve", change("a", -1, 9))));
        assertEquals(
                conflict("b", "bob", 8),
                fault(Fault.KeyConflict.class, fleet.change("c4", "eve", change("x", -1, 1), change("b", -1, 9))),
                "conflict with a waiting change");
        fleet.settle();
        assertEquals(
                conflict("b", "bob", 8),
                fault(Fault.KeyConflict.class, fleet.change("c5", "eve", change("b", -1, 9))),
                "conflict with a change in force, with a later change after it");
        assertEquals(-1, fleet.inForce("x"), "a rejected command changes nothing");
        assertEquals(
                done(3),
                fleet.change("c6", "eve", change("b", 6, 9)),
                "an operator who has seen the value may change it");
    }

    @Test
    void authorOfAnOldChangeIsUnknown() {
        fleet.change("first", "ann", change("a", -1, 5));
        fleet.settle();
        for (int i = 0; i <= RevisionHistory.MAX_BLAME_DEPTH; i++) {
            fleet.change("c" + i, "bob", change("b", i == 0 ? -1 : i, i + 1));
            fleet.settle();
        }
        assertEquals(
                conflict("a", "unknown", 0),
                fault(Fault.KeyConflict.class, fleet.change("late", "eve", change("a", -1, 9))));
        assertEquals(
                "bob",
                fault(Fault.KeyConflict.class, fleet.change("later", "eve", change("b", -1, 9)))
                        .author());
    }

    @Test
    void aProposedRevisionConflictsOnlyOnEntriesItChanges() {
        fleet.publish("p1", "ann", 0, change("a", -1, 1), change("b", -1, 2));
        fleet.settle();
        fleet.publish("p2", "ann", 1, change("a", 1, 3));
        assertEquals(
                "ann",
                fault(Fault.KeyConflict.class, fleet.change("c1", "bob", change("a", 1, 4)))
                        .author());
        assertEquals(new Answer.Waiting(0), fleet.change("c2", "bob", change("b", 2, 5)));
        fleet.settle();
        assertEquals(List.of(3, 5), List.of(fleet.inForce("a"), fleet.inForce("b")));
    }

    @Test
    void aWholeRevisionLosesTheRaceToTheFirstThatWaits() {
        fleet.at(50);
        fleet.change("c1", "ann", change("a", -1, 5));
        fleet.at(60);
        fleet.change("c2", "bob", change("b", -1, 6));
        fleet.at(70);
        fleet.change("c3", "eve", change("c", -1, 6));
        Fault.LostRace race = fault(Fault.LostRace.class, fleet.publish("p", "joe", 0, change("d", -1, 1)));
        assertEquals(new Fault.LostRace(0, 1, "bob", 6), race);
        fleet.settle();
        assertEquals(done(3), fleet.publish("p", "joe", 2, change("d", -1, 1)));
    }

    @Test
    void aRevisionBasedOnAnotherTableIsRejected() {
        fleet.publish("p1", "ann", 0, change("a", -1, 1));
        fleet.settle();
        assertEquals(
                "ann",
                fault(Fault.KeyConflict.class, fleet.publish("p2", "bob", 1, change("a", 2, 3)))
                        .author());
    }

    @Test
    void aChangeThatNamesAnEntryTwiceIsRejected() {
        fault(Fault.EntryFaulty.class, fleet.change("c1", "ann", change("a", -1, 5), change("a", -1, 6)));
        fault(Fault.EntryFaulty.class, fleet.change("c2", "ann"));
        assertEquals(0, fleet.state().revisions().size());
    }

    @Test
    void aBurstOfThreeHundredChangesIsInForceInFewRevisions() {
        for (int i = 0; i < 300; i++) {
            fleet.at(i * 33);
            fleet.change("c" + i, "op" + i % 7, change("t" + i, -1, i));
            if (i % 10 == 9) {
                fleet.reportAll();
            }
        }
        fleet.settle();
        int revisions = fleet.state().revisions().size();
        assertTrue(revisions <= 32, revisions + " revisions");
        for (int i = 0; i < 300; i++) {
            assertEquals(i, fleet.inForce("t" + i));
            ChangeRecord record = record("c" + i);
            assertEquals("op" + i % 7, record.author());
            assertEquals("why c" + i, record.reason());
            assertEquals(i * 33 / 10, record.requestedAtMs());
            assertEquals(ChangeRecord.Outcome.TAKEN, record.outcome());
        }
    }

    /** The record of an operator's command in the revisions. */
    private ChangeRecord record(String command) {
        return fleet.state().revisions().stream()
                .flatMap(revision -> revision.records().stream())
                .filter(record -> record.command().value().equals(command))
                .findFirst()
                .orElseThrow();
    }

    @Test
    void aFullQueueRejectsWithARetryTimeAndAcceptsTheCommandLater() {
        fleet.change("open", "ann", change("open", -1, 1));
        for (int i = 0; i < ChangeQueue.MAX_WAITING; i++) {
            assertEquals(new Answer.Waiting(i), fleet.change("c" + i, "ann", change("t" + i, -1, i)));
        }
        fleet.at(500);
        Fault.QueueFull full = fault(Fault.QueueFull.class, fleet.change("more", "bob", change("more", -1, 1)));
        assertEquals(new Fault.QueueFull(1_000, (2 * TestFleet.LEASE - 500) / 10), full);
        fleet.reportAll();
        assertEquals(new Answer.Waiting(0), fleet.change("more", "bob", change("more", -1, 1)));
        fleet.settle();
        assertEquals(3, fleet.state().revisions().size());
        assertEquals(1, fleet.inForce("more"));
        assertEquals(999, fleet.inForce("t999"));
    }

    @Test
    void aRepeatedCommandReturnsItsOutcomeAndActsOnce() {
        fleet.accepts(table -> table.get(TestFleet.cap("bad")).isEmpty());
        Change bad = change("bad", -1, 1);
        assertEquals(done(1), fleet.change("c1", "ann", bad));
        assertEquals(new Answer.Waiting(0), fleet.change("c2", "bob", change("b", -1, 2)));
        for (int round = 0; round < 2; round++) {
            assertEquals(done(1), fleet.change("c1", "ann", bad));
            assertEquals(new Answer.Waiting(0), fleet.change("c2", "bob", change("b", -1, 2)));
            fleet.reload(Set.of());
        }
        fleet.settle();
        for (int round = 0; round < 2; round++) {
            assertEquals(
                    1,
                    fault(Fault.CannotTake.class, fleet.change("c1", "ann", bad))
                            .revision());
            assertEquals(done(2), fleet.change("c2", "bob", change("b", -1, 2)));
            fleet.reload(Set.of());
        }
        assertEquals(2, fleet.state().revisions().size());
    }

    @Test
    void aRollbackAcrossAThousandChangesCostsOneRevisionThatSharesItsTable() {
        fleet.change("first", "ann", change("t0", -1, 1));
        fleet.settle();
        for (int i = 1; i <= 1_000; i++) {
            fleet.change("c" + i, "ann", change("t" + i, -1, i));
            fleet.settle();
        }
        Table then = fleet.state().table(new RevisionId(1));
        assertEquals(done(1_002), fleet.rollback("back", "bob", 1_001, 1));
        fleet.settle();
        assertSame(then, fleet.state().table(fleet.state().inForce()));
        Revision back = fleet.state().revision(new RevisionId(1_002));
        assertEquals(1_000, back.changedEntryCount());
        assertEquals(new RevisionId(1), back.restoredFrom());
        fleet.reload(Set.of());
        assertSame(
                fleet.state().table(new RevisionId(1)),
                fleet.state().table(fleet.state().inForce()),
                "also shared after a snapshot was loaded");
        assertEquals(
                1_000,
                fleet.state()
                        .difference(then.root(), new RevisionId(1_001), 1_000)
                        .orElseThrow()
                        .size());
        assertEquals(Optional.empty(), fleet.state().difference(then.root(), new RevisionId(1_001), 999));
    }

    @Test
    void oneFaultyChangeOfABatchDoesNotFailTheOthers() {
        fleet.accepts(table -> table.get(TestFleet.cap("t5")).isEmpty());
        fleet.change("open", "ann", change("open", -1, 1));
        for (int i = 0; i < 8; i++) {
            fleet.change("c" + i, "op" + i, change("t" + i, -1, i));
        }
        fleet.reportAll();
        assertEquals(done(2), fleet.change("c5", "op5", change("t5", -1, 5)));
        fleet.reportAll(); // all eight are rejected together, then the first four are proposed
        assertEquals(done(3), fleet.change("c0", "op0", change("t0", -1, 0)));
        assertEquals(new Answer.Waiting(1), fleet.change("c5", "op5", change("t5", -1, 5)));
        assertEquals(
                "op5",
                fault(Fault.KeyConflict.class, fleet.change("other", "eve", change("t5", -1, 6)))
                        .author(),
                "a rejected batch still holds its entries");
        fleet.reload(Set.of());
        fleet.settle();
        for (int i = 0; i < 8; i++) {
            assertEquals(i == 5 ? -1 : i, fleet.inForce("t" + i));
        }
        Fault.CannotTake cannot = fault(Fault.CannotTake.class, fleet.change("c5", "op5", change("t5", -1, 5)));
        assertTrue(cannot.reasons().contains("it does not suit"), cannot.reasons());
        assertEquals(ChangeRecord.Outcome.TAKEN, record("c4").outcome());
        assertEquals(List.of(), fleet.state().waiting());
        assertSame(
                fleet.state().revision(new RevisionId(2)).records().get(4),
                record("c4"),
                "the same record in each revision that it was part of");
    }

    /** Lets all queries of the servers fail under a revision in force until it is rolled back. */
    private void failQueriesUntilRolledBack(long revision) {
        while (fleet.state().inForce().value() == revision) {
            fleet.at(fleet.now() + 100);
            for (int i = 0; i < 3; i++) {
                fleet.queries(i, 30, 30);
                fleet.report(i);
            }
        }
    }

    private void runHealthyQueries() {
        for (int t = 0; t < 40; t++) {
            fleet.at(fleet.now() + 100);
            for (int i = 0; i < 3; i++) {
                fleet.queries(i, 10, 0);
                fleet.report(i);
            }
        }
    }

    @Test
    void waitingChangesAreCheckedAgainstTheTableAfterARollback() {
        fleet.change("c1", "ann", change("a", -1, 1));
        fleet.settle();
        runHealthyQueries();
        fleet.change("c2", "ann", change("a", 1, 2));
        fleet.settle();
        assertEquals(done(3), fleet.change("c3", "bob", change("b", -1, 1)));
        assertEquals(new Answer.Waiting(0), fleet.change("c4", "eve", change("a", 2, 3)));
        assertEquals(new Answer.Waiting(1), fleet.change("c5", "joe", change("c", -1, 4)));
        // Two servers report failing queries; the third has not yet reported whether it can act on the proposed
        // revision.
        while (fleet.state().inForce().value() == 2) {
            fleet.at(fleet.now() + 100);
            for (int i = 0; i < 2; i++) {
                fleet.queries(i, 30, 30);
                fleet.report(i);
            }
        }
        assertEquals(
                "probation", fleet.state().revision(fleet.state().inForce()).author());
        assertTrue(fault(Fault.CannotTake.class, fleet.change("c3", "bob", change("b", -1, 1)))
                .reasons()
                .contains("taken back"));
        for (int round = 0; round < 2; round++) {
            Fault.KeyConflict late = fault(Fault.KeyConflict.class, fleet.change("c4", "eve", change("a", 2, 3)));
            assertEquals(new Fault.KeyConflict("CAP a", "probation", late.atMs()), late);
            assertEquals(1, fleet.state().refused().size());
            fleet.reload(Set.of());
        }
        fleet.settle();
        assertEquals(List.of(1, -1, 4), List.of(fleet.inForce("a"), fleet.inForce("b"), fleet.inForce("c")));
    }

    @Test
    void anAutomaticRollbackConflictsLikeAnyOtherChange() {
        fleet.change("c1", "ann", change("a", -1, 1));
        fleet.settle();
        runHealthyQueries();
        fleet.change("c2", "ann", change("a", 1, 2));
        fleet.settle();
        failQueriesUntilRolledBack(2);
        assertEquals(
                "probation",
                fault(Fault.KeyConflict.class, fleet.change("c3", "bob", change("a", 2, 3)))
                        .author());
        assertEquals(done(4), fleet.change("c4", "bob", change("a", 1, 3)));
    }

    @Test
    void withoutTheGuardNeitherConditionHolds() {
        fleet = new TestFleet(3, Set.of(Guard.EXPECTED));
        assertEquals(done(1), fleet.change("c1", "ann", change("a", -1, 1)));
        fleet.settle();
        assertEquals(done(2), fleet.change("c2", "bob", change("a", -1, 2)));
        assertEquals(new Answer.Waiting(0), fleet.change("c3", "eve", change("a", -1, 3)));
        fleet.settle();
        assertEquals(3, fleet.inForce("a"));
        assertEquals(done(4), fleet.publish("p1", "joe", 1, change("b", -1, 1)));
        fleet.settle();
        assertEquals(List.of(1, 1), List.of(fleet.inForce("a"), fleet.inForce("b")));
        fault(Fault.UnknownRoot.class, fleet.publish("p2", "joe", 77, change("b", -1, 1)));
    }

    @Test
    void aRootThatNoRevisionHasIsUnknown() {
        fleet.accepts(table -> false);
        fleet.change("c1", "ann", change("a", -1, 1));
        Digest proposed = fleet.state().revision(new RevisionId(1)).root();
        assertTrue(fleet.state().table(proposed).isPresent());
        fleet.settle();
        assertEquals(Optional.empty(), fleet.state().table(proposed), "the table of a rejected revision");
        assertEquals(Optional.empty(), fleet.state().table(Digest.of("no table")));
        assertEquals(Optional.empty(), fleet.state().difference(Digest.of("no table"), RevisionId.NONE, 10));
        assertEquals(Optional.empty(), fleet.state().difference(Table.EMPTY.root(), new RevisionId(1), 10));
        assertEquals(Optional.of(List.of()), fleet.state().difference(Table.EMPTY.root(), RevisionId.NONE, 10));
    }

    @Test
    void aServerThatStaysBehindThroughManyRevisionsIsShutOut() {
        fleet.change("c0", "ann", change("a", -1, 0));
        fleet.settle();
        Answer last = null;
        for (int i = 1; fleet.now() < 2 * TestFleet.MAX_LAG; i++) {
            fleet.at(fleet.now() + 100);
            fleet.change("c" + i, "ann", change("a", i - 1, i));
            fleet.report(0);
            fleet.report(1);
            last = fleet.report(2, new RevisionId(1));
            if (last instanceof Answer.Refused) {
                break;
            }
        }
        assertTrue(fault(Fault.ShutOut.class, last).cause().startsWith("behind: acts on revision 1"));
        assertTrue(fleet.now() <= TestFleet.MAX_LAG + 300, "at " + fleet.now());
    }

    @Test
    void aLoadedSnapshotOfAQueueBehavesLikeTheOriginalState() {
        fleet.accepts(table -> table.get(TestFleet.cap("t3")).isEmpty());
        List<Answer> first = play(fleet, false);
        fleet = new TestFleet(3, Set.of());
        fleet.accepts(table -> table.get(TestFleet.cap("t3")).isEmpty());
        assertEquals(first, play(fleet, true));
    }

    /** Makes a change at each step while the servers report in turn; with reloads, loads a snapshot after each step. */
    private static List<Answer> play(TestFleet fleet, boolean reloads) {
        List<Answer> answers = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            fleet.at(i * 100);
            answers.add(fleet.change("c" + i, "op" + i, change("t" + i % 10, i < 10 ? -1 : i - 10, i)));
            answers.add(fleet.report(i % 3));
            answers.add(fleet.change("c" + i / 2, "op" + i / 2, change("x", -1, 1)));
            if (reloads) {
                List<SnapshotPart> parts = fleet.parts();
                fleet.reload(Set.of());
                assertEquals(parts, fleet.parts(), "after " + i);
            }
        }
        return answers;
    }
}
