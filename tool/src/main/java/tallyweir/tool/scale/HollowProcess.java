package tallyweir.tool.scale;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.function.IntConsumer;

/**
 * A process of a live run with many servers in it. Arguments: the number of its first server, how many it has, servers, tenants
 * and routes of the fleet, the tenants that each server has connections of, the seed, the voters. It answers each line of its
 * input with numbers; the commands are those of {@link HollowProcesses}.
 */
public final class HollowProcess {
    private final LiveServers servers;
    private final int first;
    private final int end;

    private HollowProcess(LiveServers servers, int first, int end) {
        this.servers = servers;
        this.first = first;
        this.end = end;
    }

    /** Runs it until its input ends. */
    public static void main(String[] arguments) throws Exception {
        PrintStream answers = ChildProcess.answers();
        int first = Integer.parseInt(arguments[0]);
        int count = Integer.parseInt(arguments[1]);
        FleetSize size = new FleetSize(
                Integer.parseInt(arguments[2]), Integer.parseInt(arguments[3]), Integer.parseInt(arguments[4]));
        SimulationParts parts = new StateSimulationParts(size, Integer.parseInt(arguments[5]));
        long seed = Long.parseLong(arguments[6]);
        LiveServers servers = new LiveServers(parts, VoterAddresses.read(arguments[7]), first, count, seed);
        HollowProcess process = new HollowProcess(servers, first, first + count);
        try (BufferedReader in = new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8))) {
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                String[] words = line.split(" ");
                answers.println(servers.decide(() -> process.answer(words)));
            }
        }
        System.exit(0); // whatever threads of clients are left
    }

    private String answer(String[] words) throws IOException {
        return switch (words[0]) {
            case HollowProcesses.START -> each(words, servers::start);
            case HollowProcesses.END -> each(words, servers::end);
            case HollowProcesses.CUT -> each(words, server -> servers.reached(server, false));
            case HollowProcesses.MEND -> each(words, server -> servers.reached(server, true));
            case HollowProcesses.STATUS -> status(Long.parseLong(words[1]));
            case HollowProcesses.ACTED -> acted(Long.parseLong(words[1]));
            case HollowProcesses.CONNECTIONS -> "" + servers.connections(Integer.parseInt(words[1]));
            case HollowProcesses.HEAP -> "" + Heap.used();
            default -> throw new IllegalArgumentException("no command '" + words[0] + "'");
        };
    }

    /** Of the servers from one number up to but not including another, those that are here. */
    private String each(String[] words, IntConsumer action) {
        int from = Math.max(first, Integer.parseInt(words[1]));
        int to = Math.min(end, Integer.parseInt(words[2]));
        for (int server = from; server < to; server++) {
            action.accept(server);
        }
        return "0";
    }

    private String status(long revision) throws IOException {
        return servers.counting() + " " + servers.serving(revision) + " " + servers.stoodBack() + " "
                + servers.messages() + " " + ProcessUse.transferredBytes() + " " + ProcessUse.processorNanoseconds();
    }

    private String acted(long revision) {
        LiveServers.Acted acted = servers.acted(revision);
        return acted.servers() + " " + acted.lastAt();
    }
}
