package tallyweir.tool;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import tallyweir.fleet.Answer;
import tallyweir.fleet.Command;
import tallyweir.fleet.Fault;
import tallyweir.fleet.OperatorCommandId;
import tallyweir.fleet.RevisionId;
import tallyweir.fleet.table.Change;
import tallyweir.fleet.table.Key;
import tallyweir.fleet.table.Kind;
import tallyweir.fleet.table.Value;

/** Operators who change single entries at once. */
class FleetOperatorsTest extends FleetProcesses {
    private Path change(String name, String json) throws Exception {
        return Files.writeString(dir.resolve(name), json);
    }

    private static Command.ChangeEntries cap(String command, String tenant, int before, int after) {
        Change change = new Change(
                new Key(Kind.CAP, tenant), Optional.of(new Value.Cap(before)), Optional.of(new Value.Cap(after)));
        return new Command.ChangeEntries(new OperatorCommandId(command), List.of(change), command, "at once", false);
    }

    private Value capOf(String tenant) {
        Key key = new Key(Kind.CAP, tenant);
        return link.values(List.of(key)).values().get(key);
    }

    @Test
    void changesOfDifferentKeysAreAllTakenAndOfOneKeyTheFirst() throws Exception {
        start(3, 2);
        assertEquals(0, publish(stage.revision(0, ",\"caps\":{\"a\":1,\"b\":1,\"c\":1}")));
        RouteWatcher watcher = watch(1);
        List<Integer> codes = Collections.synchronizedList(new ArrayList<>());
        List<Thread> operators = new ArrayList<>();
        for (String tenant : List.of("a", "b")) {
            Path file = change(tenant + ".json", "{\"put\":{\"caps\":{\"" + tenant + "\":5}}}");
            operators.add(new Thread(() -> codes.add(command("change", file.toString(), "--why", "cap of " + tenant))));
        }
        operators.forEach(Thread::start);
        for (Thread operator : operators) {
            operator.join();
        }
        assertEquals(List.of(0, 0), codes);
        assertEquals(new Value.Cap(5), capOf("a"));
        assertEquals(new Value.Cap(5), capOf("b"));

        Answer first = link.request(cap("first", "c", 1, 2));
        Answer second = link.request(cap("second", "c", 1, 3));
        assertFalse(first instanceof Answer.Refused, first.toString());
        Fault why = ((Answer.Refused) second).fault();
        assertTrue(
                why instanceof Fault.KeyConflict conflict && conflict.author().equals("first"), why.description());
        until("the first is in force", () -> new Value.Cap(2).equals(capOf("c")));
        assertEquals(new Answer.Done(new RevisionId(revisionOf("first"))), link.request(cap("first", "c", 1, 2)));

        Path move = stage.change(1, "a", 6);
        StringWriter said = new StringWriter();
        assertEquals(0, command(said, "change", move.toString(), "--why", "other store", "--command", "moved"));
        assertEquals(
                0, command("change", move.toString(), "--why", "other store", "--command", "moved"), "it acts once");
        assertEquals(
                24,
                command(
                        "change",
                        change("x.json", "{\"put\":{\"caps\":{\"a\":-1}}}").toString(),
                        "--why",
                        "x"));
        until("all call the other store", () -> storeOf(0) == 1 && storeOf(1) == 1 && storeOf(2) == 1);
        watcher.assertStores(List.of(0, 1));

        StringWriter audit = new StringWriter();
        assertEquals(0, command(audit, "audit"));
        for (String told : List.of("cap of a", "cap of b", "at once", "other store", "by first", "CAP a")) {
            assertTrue(audit.toString().contains(told), told + " in " + audit);
        }
    }

    /** The revision that a command has become a part of. */
    private long revisionOf(String command) {
        for (JsonNode revision : link.audit().toJson().get("revisions")) {
            for (JsonNode change : revision.get("changes")) {
                if (change.get("command").textValue().equals(command)) {
                    return revision.get("revision").longValue();
                }
            }
        }
        return -1;
    }
}
