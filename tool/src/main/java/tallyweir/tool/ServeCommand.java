package tallyweir.tool;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import tallyweir.cli.Serve;

@Command(
        name = "serve",
        mixinStandardHelpOptions = true,
        description = "Runs one real backend on sockets until it is told to leave.",
        footer = {
            "",
            "EDGE_CONFIG names its configuration, a JSON file. SIGTERM is the notice to leave, SIGHUP makes it",
            "read the configuration again, and what is watched. Exit codes: 2 a faulty configuration, 1 an address that cannot be had."
        })
final class ServeCommand implements Callable<Integer> {
    @Override
    public Integer call() {
        return Serve.serve(System.getenv(), System.err);
    }
}
