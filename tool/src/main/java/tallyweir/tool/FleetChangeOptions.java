package tallyweir.tool;

import java.util.UUID;
import picocli.CommandLine.Option;
import tallyweir.fleet.OperatorCommandId;

/** Options of every command that changes what a fleet goes by. */
final class FleetChangeOptions {
    @Option(names = "--by", defaultValue = "${sys:user.name}", description = "Who asks (${DEFAULT-VALUE}).")
    private String by;

    @Option(names = "--why", required = true, description = "The reason, kept with the change.")
    private String why;

    @Option(names = "--force", description = "Even if too many servers say that they cannot take it.")
    private boolean force;

    @Option(
            names = {"--again", "--command"},
            paramLabel = "ID",
            description = "The name of the command; without it a new one. One whose outcome is unknown is sent again"
                    + " under its name: it acts once.")
    private String again;

    @Option(
            names = "--follow-s",
            defaultValue = "120",
            description = "How long it is followed, seconds (${DEFAULT-VALUE}).")
    private long followS;

    String by() {
        return by;
    }

    String why() {
        return why;
    }

    boolean force() {
        return force;
    }

    /** Whether the command may have been sent before. */
    boolean sentBefore() {
        return again != null;
    }

    /** The name of the command: the one that is given, or a new one. */
    OperatorCommandId command() {
        return new OperatorCommandId(again != null ? again : UUID.randomUUID().toString());
    }

    /** When following ends, by {@client System#nanoTime}. */
    long followUntil() {
        return System.nanoTime() + followS * 1_000_000_000L;
    }
}
