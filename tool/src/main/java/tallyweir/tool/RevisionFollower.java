package tallyweir.tool;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintWriter;
import java.util.concurrent.TimeUnit;
import tallyweir.fleet.Fault;
import tallyweir.fleet.RevisionId;
import tallyweir.fleet.ratis.Link;

/** Follows a revision until every server is accounted for: acts on it, or is out or gone. */
final class RevisionFollower {
    private static final int LOOK_MS = 100;
    private static final int ACCOUNTED_FOR = 0;
    private static final int NOT_IN_TIME = 1;

    private final Link link;
    private final PrintWriter out;
    private final long until;
    private String printed = "";

    /** @param until by {@link System#nanoTime} */
    RevisionFollower(Link link, PrintWriter out, long until) {
        this.link = link;
        this.out = out;
        this.until = until;
    }

    /** Prints each step; returns the exit code. */
    int follow(RevisionId id) throws InterruptedException {
        while (true) {
            JsonNode audit = link.audit();
            JsonNode revision = AuditReader.revision(audit, id.value());
            String fate = revision.get("fate").textValue();
            if (fate.equals("TURNED_DOWN")) {
                throw new Fault.CannotTake(id.value(), revision.get("reasons").textValue()).thrown();
            }
            boolean open = fate.equals("PROPOSED");
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
        static Progress of(JsonNode audit, RevisionId id) {
            int acted = 0;
            int behind = 0;
            int shutOut = 0;
            int unknown = 0;
            for (JsonNode server : audit.get("servers")) {
                if (server.get("standing").textValue().equals("OUT")) {
                    shutOut++;
                } else if (server.get("silent").booleanValue()
                        || server.get("odd").booleanValue()) {
                    unknown++;
                } else if (server.get("acting").longValue() >= id.value()) {
                    acted++;
                } else {
                    behind++;
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
