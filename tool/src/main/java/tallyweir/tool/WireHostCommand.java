package tallyweir.tool;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import tallyweir.wirehost.WireHost;

@Command(
        name = "wirehost",
        mixinStandardHelpOptions = true,
        description = "Hosts decision instances on the simulator's wire (standard input and output).")
final class WireHostCommand implements Callable<Integer> {
    @Override
    public Integer call() {
        return WireHost.serve(System.in, System.out, System.err);
    }
}
