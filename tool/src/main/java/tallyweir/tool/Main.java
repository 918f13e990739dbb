package tallyweir.tool;

import java.io.IOException;
import java.io.InputStream;
import java.io.PrintWriter;
import java.util.Properties;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.IVersionProvider;
import picocli.CommandLine.ParameterException;
import tallyweir.tool.soak.SoakCommand;

/** The command line: {@code bin/tallyweir SUBCOMMAND}. */
@Command(
        name = "tallyweir",
        mixinStandardHelpOptions = true,
        versionProvider = Main.Version.class,
        description = "An overload controller for the servers of a fleet.",
        footer = {"", "Exit codes: 0 good, 1 the check failed or the work could not be done, 2 wrong use."},
        subcommands = {
            ServeCommand.class,
            WireHostCommand.class,
            DurableCommand.class,
            ResultsCommand.class,
            FleetCommand.class,
            SoakCommand.class,
            CommandLine.HelpCommand.class
        })
public final class Main implements Runnable {
    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "a subcommand is needed");
    }

    /** The exit code of a command line; prints to the writers given. */
    public static int run(PrintWriter out, PrintWriter err, String... args) {
        CommandLine line =
                new CommandLine(new Main()).setOut(out).setErr(err).setCaseInsensitiveEnumValuesAllowed(true);
        line.setExecutionExceptionHandler((e, command, result) -> {
            command.getErr().println("tallyweir: " + (e.getMessage() == null ? e.toString() : e.getMessage()));
            return 1;
        });
        line.setParameterExceptionHandler((e, given) -> {
            CommandLine of = e.getCommandLine();
            of.getErr().println("tallyweir: " + e.getMessage());
            of.getErr().println("try: " + of.getCommandSpec().qualifiedName() + " --help");
            return 2;
        });
        return line.execute(args);
    }

    public static void main(String[] args) {
        int code = run(new PrintWriter(System.out, true), new PrintWriter(System.err, true), args);
        System.exit(code);
    }

    static final class Version implements IVersionProvider {
        @Override
        public String[] getVersion() throws IOException {
            Properties p = new Properties();
            try (InputStream in = Main.class.getResourceAsStream("version.properties")) {
                p.load(in);
            }
            return new String[] {"tallyweir " + p.getProperty("version")};
        }
    }
}
