package tallyweir.tool;

import java.io.PrintWriter;
import java.util.concurrent.TimeUnit;
import tallyweir.fleet.Fault;
import tallyweir.fleet.Revision;
import tallyweir.fleet.RevisionId;
import tallyweir.fleet.ServerRecord;
import tallyweir.fleet.ratis.FleetAudit;
import tallyweir.fleet.ratis.RatisFleetClient;

/** Follows a revision until every server is accounted for: acts on it, or is out or gone. */
final class RevisionFollower {
    private static final int LOOK_MS = 100;
    private static final int ACCOUNTED_FOR = 0;
    private static final int NOT_IN_TIME = 1;

    private final RatisFleetClient client;
    private final PrintWriter out;
    private final long until;
    private String printed = "";

    /** @param until by {@client System#nanoTime} */
    RevisionFollower(RatisFleetClient client, PrintWriter out, long until) {
        this.client = client;
        this.out = out;
        this.until = until;
    }

    /** Prints each step; returns the exit code. */
    int follow(RevisionId id) throws InterruptedException {
        while (true) {
            FleetAudit audit = client.audit();
            FleetAudit.RevisionAudit revision = AuditReader.revision(audit, id);
            if (revision.fate() == Revision.Fate.TURNED_DOWN) {
                throw new Fault.CannotTake(id.value(), revision.reasons()).toException();
            }
            boolean open = revision.fate() == Revision.Fate.PROPOSED;
            Progress progress = Progress.of(audit, id);
            print("revision " + id.value() + (open ? " proposed" : " in force") + ": " + progress.text());
            if (!open && progress.accountedFor()) {
                return ACCOUNTED_FOR;
            }
            if (System.nanoTime() > until) {
                return NOT_IN_TIME;
            }
            TimeUnit.MILLISECONDS.sleep(LOOK_MS);
        }
    }

    private void print(String line) {
        if (!line.equals(printed)) {
            out.println(line);
            printed = line;
        }
    }

    /** How many servers are where. */
    private record Progress(int acted, int behind, int shutOut, int unknown) {
        static Progress of(FleetAudit audit, RevisionId id) {
            int acted = 0;
            int behind = 0;
            int shutOut = 0;
            int unknown = 0;
            for (FleetAudit.ServerAudit server : audit.servers()) {
                if (server.standing() == ServerRecord.Status.OUT) {
                    shutOut++;
                } else if (server.silent() || server.odd()) {
                    unknown++;
                } else if (server.acting().isBefore(id)) {
                    behind++;
                } else {
                    acted++;
                }
            }
            return new Progress(acted, behind, shutOut, unknown);
        }

        boolean accountedFor() {
            return behind + unknown == 0;
        }

        String text() {
            return "acted " + acted + ", behind " + behind + ", shut out " + shutOut + ", unknown " + unknown;
        }
    }
}
