package tallyweir.tool.bench;

import java.util.Arrays;
import java.util.SplittableRandom;

/**
 * How many connections the servers of a fleet see, by a drawn assignment of callers to servers. Each server belongs to one
 * service and each caller asks one service; a caller keeps to a subset of that service's servers, drawn evenly, or to all of
 * them where they are no more than the subset. A caller holds one connection to each server of its subset, as long as it
 * asks there often enough for the connection not to be closed as idle.
 */
final class ConnectionModel {
    private static final double ROUNDING = 1e-6; // percentages are not exact in binary

    private final int callers;
    private final int servers;
    private final int services;
    private final int subset;
    private final double ratePerServer;
    private final double idleSeconds;

    /**
     * @param services into which the servers are spread evenly; 1 for one pool that all callers ask
     * @param subset servers that a caller keeps to at the most
     * @param ratePerServer queries a second that a server gets
     * @param idleSeconds after which a caller closes a connection that it does not use
     */
    ConnectionModel(int callers, int servers, int services, int subset, double ratePerServer, double idleSeconds) {
        this.callers = callers;
        this.servers = servers;
        this.services = services;
        this.subset = subset;
        this.ratePerServer = ratePerServer;
        this.idleSeconds = idleSeconds;
    }

    /**
     * Connections by server, the fewest first.
     *
     * @param uneven whether callers differ in traffic by Zipf's law, or all send alike
     */
    int[] draw(boolean uneven, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        int[][] members = serversByService();
        double[] weights = weights(uneven);
        double totalRate = ratePerServer * servers;
        int[] connections = new int[servers];
        for (int caller = 0; caller < callers; caller++) {
            int[] choices = members[random.nextInt(services)];
            int chosen = Math.min(subset, choices.length);
            moveSampleToFront(choices, chosen, random);
            double open = openShare(totalRate * weights[caller] / chosen);
            for (int i = 0; i < chosen; i++) {
                connections[choices[i]] += random.nextDouble() < open ? 1 : 0;
            }
        }
        Arrays.sort(connections);
        return connections;
    }

    /** The share of time for which a connection is open that is used at random moments, so many times a second. */
    private double openShare(double queriesPerSecond) {
        return 1 - Math.exp(-queriesPerSecond * idleSeconds);
    }

    private int[][] serversByService() {
        int[][] members = new int[services][];
        for (int service = 0; service < services; service++) {
            int from = (int) ((long) service * servers / services);
            int to = (int) ((long) (service + 1) * servers / services);
            members[service] = new int[to - from];
            Arrays.setAll(members[service], i -> from + i);
        }
        return members;
    }

    /** Each caller's part of the traffic. */
    private double[] weights(boolean uneven) {
        double[] weights = new double[callers];
        Arrays.setAll(weights, caller -> uneven ? 1.0 / (caller + 1) : 1.0);
        double sum = Arrays.stream(weights).sum();
        Arrays.setAll(weights, caller -> weights[caller] / sum);
        return weights;
    }

    /** A partial shuffle: the first places hold an even sample afterwards. */
    private static void moveSampleToFront(int[] of, int count, SplittableRandom random) {
        for (int i = 0; i < count; i++) {
            int j = i + random.nextInt(of.length - i);
            int moved = of[i];
            of[i] = of[j];
            of[j] = moved;
        }
    }

    static double mean(int[] sorted) {
        return Arrays.stream(sorted).average().orElseThrow();
    }

    /** The least value that is not exceeded by the given share of all. */
    static int percentile(int[] sorted, double percent) {
        int rank = (int) Math.ceil(percent * sorted.length / 100 - ROUNDING);
        return sorted[Math.max(0, rank - 1)];
    }
}
