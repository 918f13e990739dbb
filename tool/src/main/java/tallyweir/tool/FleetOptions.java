package tallyweir.tool;

import java.nio.file.Path;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import tallyweir.config.InvalidSettingException;
import tallyweir.config.OperatorSettings;
import tallyweir.fleet.Fault;
import tallyweir.fleet.ratis.RatisFleetClient;

/** Options of every command that asks a fleet. */
final class FleetOptions {
    @Option(
            names = "--operators",
            required = true,
            description = "The operators' file, whose fleet part names the fleet and its voters.")
    private Path operators;

    @Option(
            names = "--give-up-ms",
            defaultValue = "10000",
            description = "How long an answer is waited for, ms (${DEFAULT-VALUE}).")
    private long giveUpMs;

    /** A client of the fleet that is named. */
    RatisFleetClient open() {
        OperatorSettings read = OperatorSettings.read(operators);
        if (!read.inFleet()) {
            throw new InvalidSettingException(
                    "fleet is missing in " + operators + ": it names the fleet and its voters");
        }
        return new RatisFleetClient(read.fleetName(), read.voters(), giveUpMs);
    }

    /** Prints what is the matter and what can be done; the exit code goes by the kind of fault. */
    static int print(CommandSpec spec, Fault fault) {
        spec.commandLine().getErr().println("tallyweir: " + fault.description());
        spec.commandLine().getErr().println("what to do: " + fault.advice());
        return fault.exitCode();
    }
}
