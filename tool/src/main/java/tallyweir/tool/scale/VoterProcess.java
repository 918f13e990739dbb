package tallyweir.tool.scale;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import tallyweir.fleet.ratis.Voter;

/**
 * The process of one voter of a live run. Arguments: its name, its directory, the voters, the places of the fleet. The line
 * {@code use} is answered with whether it leads (1 or 0), its processor time and its memory.
 */
public final class VoterProcess {
    private static final long NANOSECONDS_PER_TICK = 100_000;

    private VoterProcess() {}

    /** Runs it until its input ends. */
    public static void main(String[] arguments) throws IOException {
        PrintStream answers = ChildProcess.answers();
        int places = Integer.parseInt(arguments[3]);
        try (Voter voter = Voter.start(
                        ScaleSettings.FLEET,
                        VoterAddresses.read(arguments[2]),
                        arguments[0],
                        Path.of(arguments[1]),
                        ScaleSettings.fleet(places),
                        () -> System.nanoTime() / NANOSECONDS_PER_TICK,
                        System::currentTimeMillis);
                BufferedReader in = new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8))) {
            while (in.readLine() != null) {
                answers.println((voter.isLeader() ? 1 : 0) + " " + ProcessUse.processorNanoseconds() + " "
                        + ProcessUse.residentBytes());
            }
        }
        System.exit(0); // whatever threads of the log are left
    }
}
