package tallyweir.tool.scale;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The voters of a live run, a process each. */
final class LiveVoters implements AutoCloseable {
    private static final int HEAP_MEGABYTES = 1_200;
    private static final String USE = "use";

    /** What a voter has used so far. */
    record Use(boolean leads, long processorNanoseconds, long residentBytes) {}

    private final Map<String, String> addresses;
    private final List<ChildProcess> processes = new ArrayList<>();

    LiveVoters(int places, Path dir) throws IOException {
        addresses = VoterAddresses.free(SimulatedVoters.VOTERS);
        for (String name : addresses.keySet()) {
            Path own = Files.createDirectories(dir.resolve(name));
            processes.add(ChildProcess.start(
                    VoterProcess.class,
                    HEAP_MEGABYTES,
                    dir.resolve(name + ".log"),
                    List.of(name, own.resolve("log").toString(), VoterAddresses.write(addresses), "" + places)));
        }
    }

    Map<String, String> addresses() {
        return addresses;
    }

    /** What each has used so far. */
    List<Use> uses() throws IOException {
        List<Use> all = new ArrayList<>();
        for (ChildProcess process : processes) {
            long[] numbers = process.numbers(USE);
            all.add(new Use(numbers[0] == 1, numbers[1], numbers[2]));
        }
        return all;
    }

    /** The index of the voter that leads, if one does. */
    static Optional<Integer> leading(List<Use> uses) {
        for (int voter = 0; voter < uses.size(); voter++) {
            if (uses.get(voter).leads()) {
                return Optional.of(voter);
            }
        }
        return Optional.empty();
    }

    @Override
    public void close() {
        processes.forEach(ChildProcess::close);
    }
}
