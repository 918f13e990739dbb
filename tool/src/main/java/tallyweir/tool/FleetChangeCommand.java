package tallyweir.tool;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import picocli.CommandLine;
import picocli.CommandLine.Parameters;
import tallyweir.config.ChangeFile;
import tallyweir.fleet.Command;
import tallyweir.fleet.ratis.RatisFleetClient;
import tallyweir.fleet.table.Key;
import tallyweir.fleet.table.Value;

/** Changes some entries, each on the condition that it still says what it says now. */
@CommandLine.Command(
        name = "change",
        mixinStandardHelpOptions = true,
        description = "Changes some entries of the revision in force, whatever becomes of others meanwhile, and follows"
                + " the revision that it becomes a part of until every server is accounted for.")
final class FleetChangeCommand extends FleetChange {
    @Parameters(paramLabel = "FILE", description = "What is to be put and removed, as deploy/example-change.json.")
    private Path file;

    @Override
    Command command(RatisFleetClient client, FleetChangeOptions options) throws IOException {
        ChangeFile wanted = ChangeFile.parse(Files.readAllBytes(file));
        Map<Key, Value> now = client.values(wanted.keys()).values();
        return new Command.ChangeEntries(
                options.command(), wanted.changes(now), options.by(), options.why(), options.force());
    }
}
