package tallyweir.tool.scale;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** The processes of a live run that have the servers in them, as one. */
final class HollowProcesses implements AutoCloseable {
    /** Starts servers: from one number up to but not including another. */
    static final String START = "start";

    /** Ends servers, so. */
    static final String END = "end";

    /** Cuts servers off from the voters, so. */
    static final String CUT = "cut";

    /** Takes a cut back, so. */
    static final String MEND = "mend";

    /** Asks how the servers stand towards a revision, and what has been used. */
    static final String STATUS = "status";

    /** Asks how many servers came to a revision, and when the last did. */
    static final String ACTED = "acted";

    /** Asks for the connections of a tenant. */
    static final String CONNECTIONS = "connections";

    /** Asks for the heap that is in use. */
    static final String HEAP = "heap";

    private static final int HEAP_MEGABYTES = 1_500;

    /**
     * The servers of all processes.
     *
     * @param counting that run and can be reached
     * @param serving that act on the revision that was asked for, or a later one, and take queries
     * @param processorNanoseconds of the processes
     */
    record Status(long counting, long serving, long stoodBack, long messages, long bytes, long processorNanoseconds) {
        private Status plus(long[] more) {
            return new Status(
                    counting + more[0],
                    serving + more[1],
                    stoodBack + more[2],
                    messages + more[3],
                    bytes + more[4],
                    processorNanoseconds + more[5]);
        }
    }

    private final List<ChildProcess> processes = new ArrayList<>();

    /** Starts as many processes as are needed, with no more than so many servers in each. */
    HollowProcesses(ScaleOptions options, Map<String, String> voters, int serversEach, Path dir) throws IOException {
        FleetSize size = options.size();
        for (int first = 0; first < size.servers(); first += serversEach) {
            int count = Math.min(serversEach, size.servers() - first);
            processes.add(ChildProcess.start(
                    HollowProcess.class,
                    HEAP_MEGABYTES,
                    dir.resolve("servers-" + first + ".log"),
                    List.of(
                            "" + first,
                            "" + count,
                            "" + size.servers(),
                            "" + size.tenants(),
                            "" + size.routes(),
                            "" + options.activeTenants(),
                            "" + (options.seed() + first),
                            VoterAddresses.write(voters))));
        }
    }

    /** Does one of the commands that are about a range of servers. */
    void range(String command, int from, int to) throws IOException {
        for (ChildProcess process : processes) {
            process.ask(command + " " + from + " " + to);
        }
    }

    Status status(long revision) throws IOException {
        Status all = new Status(0, 0, 0, 0, 0, 0);
        for (ChildProcess process : processes) {
            all = all.plus(process.numbers(STATUS + " " + revision));
        }
        return all;
    }

    /** When the last server came to a revision, ms since 1970, 0 where none has. */
    long actedAt(long revision) throws IOException {
        long last = 0;
        for (ChildProcess process : processes) {
            last = Math.max(last, process.numbers(ACTED + " " + revision)[1]);
        }
        return last;
    }

    /** Connections of a tenant. */
    long connections(int tenant) throws IOException {
        return sum(CONNECTIONS + " " + tenant);
    }

    /** Heap in use in all processes, after a collection. */
    long heapBytes() throws IOException {
        return sum(HEAP);
    }

    private long sum(String line) throws IOException {
        long all = 0;
        for (ChildProcess process : processes) {
            all += process.numbers(line)[0];
        }
        return all;
    }

    @Override
    public void close() {
        processes.forEach(ChildProcess::close);
    }
}
