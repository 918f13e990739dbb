package tallyweir.tool.scale;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.SplittableRandom;

/** The ways between servers and the voter that leads: how long a message takes, and a digest over all of them. */
final class SimulatedNetwork {
    /** How long an answer is waited for: as a server's link does, a fifth of a lease. */
    static final long GIVE_UP = ScaleSettings.LEASE / 5;

    private static final long LEAST_LATENCY = 2;
    private static final long SPREAD_LATENCY = 8;
    private static final long BETWEEN_REGIONS = 300;

    private final SplittableRandom random;
    private final Topology topology;
    private final MessageDigest digest;

    SimulatedNetwork(long seed, Topology topology) {
        random = new SplittableRandom(seed);
        this.topology = topology;
        try {
            digest = MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java has SHA-256", e);
        }
    }

    /** How long a message between a server and the voter that leads takes. */
    long latency(int server) {
        long far = topology.nearLeader(server) ? 0 : BETWEEN_REGIONS;
        return far + LEAST_LATENCY + random.nextLong(SPREAD_LATENCY);
    }

    /** Notes a message of a server, or to it. */
    void note(long now, int server, byte[] message) {
        digest.update((now + " " + server + " ").getBytes(StandardCharsets.US_ASCII));
        digest.update(message);
    }

    /** Notes messages of a server that are known by their number and length. */
    void note(long now, int server, long count, long length) {
        note(now, server, (count + " " + length).getBytes(StandardCharsets.US_ASCII));
    }

    /** The number of a voter, drawn: any may be asked for a table. */
    int anyVoter() {
        return random.nextInt(SimulatedVoters.VOTERS);
    }

    /** Names all messages so far; called once, at the end. */
    String digest() {
        return HexFormat.of().formatHex(digest.digest());
    }
}
