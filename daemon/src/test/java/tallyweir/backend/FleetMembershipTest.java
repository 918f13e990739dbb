package tallyweir.backend;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import tallyweir.config.Config;
import tallyweir.config.RevisionFile;
import tallyweir.fleet.Answer;
import tallyweir.fleet.Command;
import tallyweir.fleet.Digest;
import tallyweir.fleet.Fault;
import tallyweir.fleet.Incarnation;
import tallyweir.fleet.RevisionId;
import tallyweir.fleet.RevisionRoot;
import tallyweir.fleet.table.Change;
import tallyweir.fleet.table.Key;
import tallyweir.fleet.table.Kind;
import tallyweir.fleet.table.Table;
import tallyweir.fleet.table.Value;

/** The membership of a server in its fleet, from the answers of the fleet to the reports of the server. */
class FleetMembershipTest {
    private static final String CONFIG = """
            {"name":"n3","listen":"127.0.0.1:0","kernel":"127.0.0.1:1","announce":"127.0.0.1:2","store":"127.0.0.1:3",
             "seed":"1","stop_ms":3200,"limits":{"cores":1.0,"memory_mb":192,"sockets":64},
             "settings":{"Classes":[{"Name":"a","Effect":"safe","TargetUs":1800000,"DeadlineUs":4600000,"Worth":1}],
              "FamilyInfo":{"Cpus":2,"MemLimitKb":9000,"RunMemFactor":4,"Halt":"off","IdleUs":30000000,
               "Gauges":["core_use","on_cores"],"PassesDeadline":true,"ClassCalls":[true]},
              "RoundUs":5000,"Permissions":{"RetryAfter":true,"MaxRetryAfterUs":1000000},
              "Rules":{"AnswerSlackUs":60000,"DrainGraceUs":1000000,"FallMultiple":8,"FallUs":3000000}}}""";
    private static final Table FIRST =
            table("{\"stores\":[{\"address\":\"1.0.0.1:1\"}],\"kernels\":{\"n3\":\"1.0.0.9:4\"},"
                    + "\"announce\":\"1.0.0.8:5\",\"caps\":{\"t\":3}}");
    private static final long LEASE = 100_000;
    private static final long SOON = 1_000;

    private final IdleLinks links = new IdleLinks();
    private final RecordedFleetClient client = new RecordedFleetClient();
    private final Deque<Runnable> told = new ArrayDeque<>(); // callbacks for the deciding thread
    private final Backend backend;
    private long now = 1_000_000;
    private RevisionRoot inForce = RevisionRoot.NONE;
    private RevisionRoot proposed = RevisionRoot.NONE;
    private final List<Command.Report> reports = new ArrayList<>();

    FleetMembershipTest() {
        backend = new Backend(links, Config.parse(CONFIG.getBytes(UTF_8), Map.of()), now, now);
        backend.joinFleet(client, "test", told::add, "127.0.0.1:7", 0, 1_000, false, 1, 1, Set.of());
    }

    private static Table table(String json) {
        return RevisionFile.parse(json.getBytes(UTF_8));
    }

    private static RevisionRoot revision(long id, Table table) {
        return new RevisionRoot(new RevisionId(id), table.root());
    }

    /** Runs rounds of the deciding thread for a duration in tenths of a millisecond; the fleet answers at once. */
    private void rounds(long duration) {
        for (long end = now + duration; now < end; now += 100) {
            backend.clock(now, now);
            backend.pass();
            while (!client.sent.isEmpty()) {
                answer(client.sent.poll());
            }
            while (!told.isEmpty()) {
                told.poll().run();
            }
        }
    }

    private void answer(RecordedFleetClient.Sent sent) {
        if (sent.command() instanceof Command.Join join) {
            assertEquals("test", join.fleet());
            sent.answer(new Answer.Joined(new Incarnation(1), 4, 0.5, SOON));
        } else {
            Command.Report report = assertInstanceOf(Command.Report.class, sent.command());
            reports.add(report);
            sent.answer(new Answer.Told(report.number(), LEASE, LEASE, true, inForce, 0, proposed, Map.of(), SOON));
        }
    }

    private Command.Report last() {
        return reports.get(reports.size() - 1);
    }

    @Test
    void aRevisionInForceIsFetchedUsedAndReportedByTheRootOfItsTable() {
        inForce = revision(1, FIRST);
        rounds(5_000);
        assertEquals(RevisionId.NONE, last().acting(), "it does not act on a revision before it has its table");
        RecordedFleetClient.Fetch fetch = client.fetches.poll();
        assertEquals(Table.EMPTY.root(), fetch.have().root());
        assertEquals(inForce, fetch.wanted());
        fetch.answer(FIRST);
        rounds(5_000);
        assertEquals(inForce.id(), last().acting());
        assertEquals(FIRST.root(), last().inForce());
        assertEquals(new InetSocketAddress("1.0.0.9", 4), links.kernel);
        assertEquals(new InetSocketAddress("1.0.0.8", 5), links.announce);
        assertTrue(client.fetches.isEmpty());
    }

    @Test
    void theNextIsFetchedFromTheOneInUseAndACapAloneLeavesAllElseAsItIs() {
        aRevisionInForceIsFetchedUsedAndReportedByTheRootOfItsTable();
        Key cap = new Key(Kind.CAP, "t");
        Table second = FIRST.apply(List.of(new Change(cap, FIRST.get(cap), Optional.of(new Value.Cap(4)))));
        proposed = revision(2, second);
        rounds(5_000);
        RecordedFleetClient.Fetch fetch = client.fetches.poll();
        assertEquals(FIRST.root(), fetch.have().root());
        fetch.answer(second);
        rounds(5_000);
        assertEquals(proposed.id(), last().checked());
        assertEquals("", last().cannot());
        assertEquals(FIRST.root(), last().inForce(), "only checked so far");
        inForce = proposed;
        proposed = RevisionRoot.NONE;
        rounds(5_000);
        assertEquals(second.root(), last().inForce());
        assertTrue(client.fetches.isEmpty(), "the checked revision is used without another fetch");
        assertEquals(1, links.routed);
    }

    @Test
    void aProposedRevisionThatItCannotActOnIsToldWithTheReason() {
        Table unknown = table("{\"stores\":[{\"address\":\"1.0.0.1:1\",\"workloads\":[\"z\"]}]}");
        proposed = revision(1, unknown);
        rounds(2_000);
        client.fetches.poll().answer(unknown);
        rounds(5_000);
        assertEquals(proposed.id(), last().checked());
        assertTrue(last().cannot().contains("z is unknown"), last().cannot());
        inForce = proposed; // although this server rejected it
        rounds(5_000);
        assertEquals(RevisionId.NONE, last().acting());
    }

    @Test
    void aFetchThatFailsIsTriedAgainBeforeItIsToldThatItCannot() {
        proposed = revision(1, FIRST);
        Fault damaged =
                new Fault.DigestMismatch(FIRST.root().value(), Digest.of("x").value());
        int fetches = 0;
        for (int i = 0; i < 100 && cannotSoFar().equals(""); i++) {
            rounds(1_000);
            if (!client.fetches.isEmpty()) {
                fetches++;
                client.fetches.poll().fail(damaged);
            }
        }
        assertEquals(5, fetches);
        assertTrue(last().cannot().contains("hashes to"), last().cannot());
        inForce = proposed;
        rounds(2_000);
        client.fetches.poll().fail(damaged);
        rounds(2_000);
        assertEquals(RevisionId.NONE, last().acting());
        client.fetches.poll().answer(FIRST);
        rounds(2_000);
        assertEquals(FIRST.root(), last().inForce(), "the fetch is retried until it succeeds");
    }

    private String cannotSoFar() {
        return reports.isEmpty() ? "" : last().cannot();
    }
}
