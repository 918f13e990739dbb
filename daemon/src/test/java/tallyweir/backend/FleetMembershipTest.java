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
    private static final Table FIRST_TABLE =
            table("{\"stores\":[{\"address\":\"1.0.0.1:1\"}],\"kernels\":{\"n3\":\"1.0.0.9:4\"},"
                    + "\"announce\":\"1.0.0.8:5\",\"caps\":{\"t\":3}}");
    private static final long LEASE_TENTHS_MS = 100_000;
    private static final long REPORT_INTERVAL_TENTHS_MS = 1_000;

    private final RecordingLinks links = new RecordingLinks();
    private final RecordingFleetClient client = new RecordingFleetClient();
    private final Deque<Runnable> callbacks = new ArrayDeque<>(); // callbacks for the deciding thread
    private final Backend backend;
    private long now = 1_000_000;
    private RevisionRoot inForce = RevisionRoot.NONE;
    private RevisionRoot proposed = RevisionRoot.NONE;
    private final List<Command.Report> reports = new ArrayList<>();

    FleetMembershipTest() {
        backend = new Backend(links, Config.parse(CONFIG.getBytes(UTF_8), Map.of()), now, now);
        backend.joinFleet(client, "test", callbacks::add, "127.0.0.1:7", 0, 1_000, false, 1, 1, Set.of());
    }

    private static Table table(String json) {
        return RevisionFile.parse(json.getBytes(UTF_8));
    }

    private static RevisionRoot revision(long id, Table table) {
        return new RevisionRoot(new RevisionId(id), table.root());
    }

    /** Runs rounds of the deciding thread for a duration in tenths of a millisecond; the fleet answers at once. */
    private void runRounds(long duration) {
        for (long end = now + duration; now < end; now += 100) {
            backend.updateClock(now, now);
            backend.runDue();
            while (!client.sent.isEmpty()) {
                answer(client.sent.poll());
            }
            while (!callbacks.isEmpty()) {
                callbacks.poll().run();
            }
        }
    }

    private void answer(RecordingFleetClient.Sent sent) {
        if (sent.command() instanceof Command.Join join) {
            assertEquals("test", join.fleet());
            sent.answer(new Answer.Joined(new Incarnation(1), 4, 0.5, REPORT_INTERVAL_TENTHS_MS));
        } else {
            Command.Report report = assertInstanceOf(Command.Report.class, sent.command());
            reports.add(report);
            sent.answer(new Answer.ReportAccepted(
                    report.reportNumber(),
                    LEASE_TENTHS_MS,
                    LEASE_TENTHS_MS,
                    true,
                    inForce,
                    0,
                    proposed,
                    Map.of(),
                    REPORT_INTERVAL_TENTHS_MS));
        }
    }

    private Command.Report lastReport() {
        return reports.get(reports.size() - 1);
    }

    @Test
    void aRevisionInForceIsFetchedUsedAndReportedByTheRootOfItsTable() {
        inForce = revision(1, FIRST_TABLE);
        runRounds(5_000);
        assertEquals(
                RevisionId.NONE,
                lastReport().actingRevision(),
                "it does not act on a revision before it has its table");
        RecordingFleetClient.Fetch fetch = client.fetches.poll();
        assertEquals(Table.EMPTY.root(), fetch.have().root());
        assertEquals(inForce, fetch.wanted());
        fetch.answer(FIRST_TABLE);
        runRounds(5_000);
        assertEquals(inForce.id(), lastReport().actingRevision());
        assertEquals(FIRST_TABLE.root(), lastReport().tableDigest());
        assertEquals(new InetSocketAddress("1.0.0.9", 4), links.kernel);
        assertEquals(new InetSocketAddress("1.0.0.8", 5), links.announce);
        assertTrue(client.fetches.isEmpty());
    }

    @Test
    void theNextRevisionIsFetchedFromTheOneInUseAndAChangedCapReroutesNothing() {
        aRevisionInForceIsFetchedUsedAndReportedByTheRootOfItsTable();
        Key cap = new Key(Kind.CAP, "t");
        Table second = FIRST_TABLE.apply(List.of(new Change(cap, FIRST_TABLE.get(cap), Optional.of(new Value.Cap(4)))));
        proposed = revision(2, second);
        runRounds(5_000);
        RecordingFleetClient.Fetch fetch = client.fetches.poll();
        assertEquals(FIRST_TABLE.root(), fetch.have().root());
        fetch.answer(second);
        runRounds(5_000);
        assertEquals(proposed.id(), lastReport().checkedRevision());
        assertEquals("", lastReport().rejectReason());
        assertEquals(FIRST_TABLE.root(), lastReport().tableDigest(), "only checked so far");
        inForce = proposed;
        proposed = RevisionRoot.NONE;
        runRounds(5_000);
        assertEquals(second.root(), lastReport().tableDigest());
        assertTrue(client.fetches.isEmpty(), "the checked revision is used without another fetch");
        assertEquals(1, links.routeCount);
    }

    @Test
    void anUnusableProposedRevisionIsReportedWithTheReason() {
        Table unknown = table("{\"stores\":[{\"address\":\"1.0.0.1:1\",\"workloads\":[\"z\"]}]}");
        proposed = revision(1, unknown);
        runRounds(2_000);
        client.fetches.poll().answer(unknown);
        runRounds(5_000);
        assertEquals(proposed.id(), lastReport().checkedRevision());
        assertTrue(
                lastReport().rejectReason().contains("z is unknown"),
                lastReport().rejectReason());
        inForce = proposed; // although this server rejected it
        runRounds(5_000);
        assertEquals(RevisionId.NONE, lastReport().actingRevision());
    }

    @Test
    void aFailedFetchIsRetriedBeforeTheRevisionIsReportedUnusable() {
        proposed = revision(1, FIRST_TABLE);
        Fault damaged = new Fault.DigestMismatch(
                FIRST_TABLE.root().value(), Digest.of("x").value());
        int fetches = 0;
        for (int i = 0; i < 100 && reportedReason().equals(""); i++) {
            runRounds(1_000);
            if (!client.fetches.isEmpty()) {
                fetches++;
                client.fetches.poll().fail(damaged);
            }
        }
        assertEquals(5, fetches);
        assertTrue(
                lastReport().rejectReason().contains("hashes to"), lastReport().rejectReason());
        inForce = proposed;
        runRounds(2_000);
        client.fetches.poll().fail(damaged);
        runRounds(2_000);
        assertEquals(RevisionId.NONE, lastReport().actingRevision());
        client.fetches.poll().answer(FIRST_TABLE);
        runRounds(2_000);
        assertEquals(FIRST_TABLE.root(), lastReport().tableDigest(), "the fetch is retried until it succeeds");
    }

    private String reportedReason() {
        return reports.isEmpty() ? "" : lastReport().rejectReason();
    }
}
