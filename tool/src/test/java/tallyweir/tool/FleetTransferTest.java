package tallyweir.tool;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import tallyweir.fleet.Answer;
import tallyweir.fleet.Command;
import tallyweir.fleet.Digest;
import tallyweir.fleet.Fault;
import tallyweir.fleet.OperatorCommandId;
import tallyweir.fleet.RevisionId;
import tallyweir.fleet.table.Change;
import tallyweir.fleet.table.Key;
import tallyweir.fleet.table.Kind;
import tallyweir.fleet.table.Value;
import tallyweir.stand.FaultRelay;

/**
 * Revisions whose tables take many pieces, and faults between the pieces. Each revision routes both workloads to a store of its
 * own by two entries, so that a server which goes by parts of two revisions is seen by where its queries call.
 */
class FleetTransferTest extends FleetProcesses {
    private static final int CAPS = 20_000;
    private static final int PART = 60_000; // bytes that a server has had when it is midway
    private static final int SLOW_MS = 10;

    /** Ends a server that does not vote and starts it again behind a slow network: it fetches the whole table anew. */
    private long restartSlowly(int server) throws Exception {
        stage.servers.get(server).kill();
        stage.from(server).forEach(relay -> relay.setDelayMs(SLOW_MS));
        long before = replied(server);
        stage.servers.get(server).start();
        return before;
    }

    private long replied(int server) {
        return stage.from(server).stream().mapToLong(FaultRelay::repliedBytes).sum();
    }

    private void untilMidway(int server, long before) throws Exception {
        until("pieces have come to " + server, () -> replied(server) > before + PART);
        assertEquals(1, timesActing(server), "it has not got all of them yet");
    }

    @Test
    void aServerKilledAndOneCutOffMidwayThroughTheirPiecesGoByWholeRevisionsAlone() throws Exception {
        start(5, 2);
        assertEquals(0, publish(stage.largeRevision(0, CAPS)));
        List<RouteWatcher> watchers = watchAll(5);
        long before = restartSlowly(3);
        untilMidway(3, before);
        stage.servers.get(3).kill();
        before = restartSlowly(4);
        untilMidway(4, before);
        stage.from(4).forEach(FaultRelay::resetAll);
        command("publish", stage.largeRevision(1, CAPS).toString(), "--why", "second", "--follow-s", "5");
        until("the second is in force", () -> acting(2) >= 3);
        stage.from(3).forEach(FaultRelay::endFaults);
        stage.from(4).forEach(FaultRelay::endFaults);
        stage.servers.get(3).start();
        until("all act on the second", () -> acting(2) == 5);
        for (int i = 0; i < 5; i++) {
            assertEquals(1, storeOf(i));
        }
        for (RouteWatcher watcher : watchers) {
            watcher.assertStores(List.of(0, 1));
        }
    }

    private List<RouteWatcher> watchAll(int servers) {
        List<RouteWatcher> watchers = new ArrayList<>();
        for (int i = 0; i < servers; i++) {
            watchers.add(watch(i));
        }
        return watchers;
    }

    @Test
    void aVoterKilledBetweenTwoPiecesIsReplacedByAnotherAndThePiecesGoOn() throws Exception {
        start(4, 1);
        assertEquals(0, publish(stage.largeRevision(0, CAPS)));
        RouteWatcher watcher = watch(3);
        Map<Integer, Long> earlier = new HashMap<>();
        for (int voter = 0; voter < 3; voter++) {
            earlier.put(voter, stage.relay(3, voter).repliedBytes());
        }
        long before = restartSlowly(3);
        untilMidway(3, before);
        int serving = Collections.max(
                List.of(0, 1, 2),
                (a, b) -> Long.compare(
                        stage.relay(3, a).repliedBytes() - earlier.get(a),
                        stage.relay(3, b).repliedBytes() - earlier.get(b)));
        stage.servers.get(serving).kill();
        until("it has all pieces", () -> timesActing(3) == 2);
        stage.servers.get(serving).start();
        stage.from(3).forEach(FaultRelay::endFaults);
        until("all act on it", () -> acting(1) == 4);
        watcher.assertStores(List.of(0));
    }

    @Test
    void aTableDamagedOnItsWayIsNotUsedAndIsFetchedAgain() throws Exception {
        start(4, 2);
        assertEquals(0, publish(stage.largeRevision(0, 3_000)));
        List<RouteWatcher> watchers = watchAll(4);
        stage.from(3).forEach(relay -> relay.damageReplies(1_000));
        assertEquals(0, publish(stage.largeRevision(1, 3_000)), "one of four cannot have it, and is shut out");
        assertTrue(stage.from(3).stream().mapToInt(FaultRelay::damagedChunks).sum() > 0, "nothing was damaged");
        assertEquals(0, storeOf(3), "it goes on under the one before");
        assertEquals(1, timesActing(3));
        stage.from(3).forEach(FaultRelay::endFaults);
        until("it has it at last", () -> acting(2) == 4);
        Collections.reverse(
                watchers); // that of the last server first, as a query of it is the likeliest to be under way
        for (RouteWatcher watcher : watchers) {
            watcher.assertStores(List.of(0, 1));
        }
    }

    @Test
    void aThousandChangesAreTakenBackWhileAThirdOfTheServersIsCutOff() throws Exception {
        start(3, 2);
        assertEquals(0, publish(stage.largeRevision(0, 2_000)));
        List<RouteWatcher> watchers = watchAll(3);
        for (int i = 0; i < 1_000; i++) {
            Key key = new Key(Kind.CAP, "tenant-0-" + i);
            Change change = new Change(key, Optional.of(new Value.Cap(i + 1)), Optional.of(new Value.Cap(i + 2)));
            ask(new Command.ChangeEntries(
                    new OperatorCommandId("c" + i), List.of(change), "test", "change " + i, false));
        }
        assertEquals(0, command("change", stage.largeMove(0, 1).toString(), "--why", "moves"));
        long last = link.audit().inForce().value();
        until("all act on the last", () -> acting(last) == 3);
        int aside = 2;
        stage.around(aside).forEach(FaultRelay::resetAll);
        until("it is silent", () -> acting(last) == 2);
        assertEquals(0, command("rollback", "--to", "1", "--why", "worse"));
        assertEquals(1, storeOf(aside), "it cannot know yet");
        stage.around(aside).forEach(FaultRelay::endFaults);
        until("all act as on the first", () -> acting(last + 1) == 3);
        assertEquals(root(1), root(last + 1));
        assertNotEquals(root(1), root(last));
        for (RouteWatcher watcher : watchers) {
            watcher.assertStores(List.of(0, 1, 0));
        }
    }

    private Digest root(long revision) {
        return AuditReader.revision(link.audit(), new RevisionId(revision)).root();
    }

    private void ask(Command.ChangeEntries change) throws Exception {
        Answer answer = link.request(change);
        if (answer instanceof Answer.Refused refused && refused.fault() instanceof Fault.QueueFull) {
            until("there is room in the queue", () -> !(link.request(change) instanceof Answer.Refused));
        } else {
            assertTrue(answer instanceof Answer.Done || answer instanceof Answer.Waiting, answer.toString());
        }
    }
}
