package tallyweir.tool;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import picocli.CommandLine;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import tallyweir.config.RevisionFile;
import tallyweir.fleet.Command;
import tallyweir.fleet.RevisionId;
import tallyweir.fleet.RevisionRoot;
import tallyweir.fleet.ratis.FleetAudit;
import tallyweir.fleet.ratis.RatisFleetClient;
import tallyweir.fleet.table.Change;
import tallyweir.fleet.table.Table;

/** Proposes a whole revision, as its difference to the one that the operator saw. */
@CommandLine.Command(
        name = "publish",
        mixinStandardHelpOptions = true,
        description = "Proposes a revision and follows it until every server is accounted for.")
final class FleetPublishCommand extends FleetChange {
    @Parameters(paramLabel = "FILE", description = "The revision, as deploy/example-revision.json.")
    private Path file;

    @Option(names = "--expected", description = "The revision in force that you saw; without it, the one in force now.")
    private Long expected;

    @Override
    Command command(RatisFleetClient client, FleetChangeOptions options) throws IOException {
        Table wanted = RevisionFile.parse(Files.readAllBytes(file));
        FleetAudit audit = client.audit();
        RevisionId seen = expected != null ? new RevisionId(expected) : audit.inForce();
        RevisionRoot base = AuditReader.root(audit, seen);
        Table before = base.equals(RevisionRoot.NONE) ? Table.EMPTY : client.table(Table.EMPTY, base);
        List<Change> changes = before.differenceTo(wanted);
        return new Command.Publish(options.command(), seen, changes, options.by(), options.why(), options.force());
    }
}
