package tallyweir.tool;

import picocli.CommandLine;
import picocli.CommandLine.Option;
import tallyweir.fleet.Command;
import tallyweir.fleet.RevisionId;
import tallyweir.fleet.ratis.RatisFleetClient;

/** Brings an earlier revision back. */
@CommandLine.Command(
        name = "rollback",
        mixinStandardHelpOptions = true,
        description = "Brings any past revision back as a new one and follows it until every server is accounted for.")
final class FleetRollbackCommand extends FleetChange {
    @Option(names = "--to", required = true, description = "The revision that is to come back.")
    private long to;

    @Option(names = "--expected", description = "The revision in force that you saw; without it, the one in force now.")
    private Long expected;

    @Override
    Command command(RatisFleetClient client, FleetChangeOptions options) {
        RevisionId seen =
                expected != null ? new RevisionId(expected) : client.audit().inForce();
        return new Command.Rollback(
                options.command(), seen, new RevisionId(to), options.by(), options.why(), options.force());
    }
}
