package tallyweir.tool;

import picocli.CommandLine;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;
import tallyweir.tool.bench.ConnectionBench;
import tallyweir.tool.bench.FleetBench;
import tallyweir.tool.scale.ScaleCommand;

/** Registers the commands about fleets. */
@CommandLine.Command(
        name = "fleet",
        mixinStandardHelpOptions = true,
        description = "What a fleet routes by: its revisions, who acts on which, and what its promises rest on.",
        subcommands = {
            FleetPublishCommand.class,
            FleetChangeCommand.class,
            FleetRollbackCommand.class,
            FleetAuditCommand.class,
            FleetCapsCommand.class,
            FleetExploreCommand.class,
            FleetDrill.class,
            FleetBench.class,
            ConnectionBench.class,
            ScaleCommand.class
        })
final class FleetCommand implements Runnable {
    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "a subcommand is needed");
    }
}
