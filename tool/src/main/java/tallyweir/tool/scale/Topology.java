package tallyweir.tool.scale;

import java.util.BitSet;
import java.util.SplittableRandom;

/**
 * Where servers are: five zones of equal size in two regions, racks of forty servers. The voter that leads is in the first
 * region.
 */
record Topology(int servers) {
    static final int RACK = 40;
    static final int ZONES = 5;

    private static final int ZONES_OF_FIRST_REGION = 3;

    int zone(int server) {
        return (int) ((long) server * ZONES / servers);
    }

    /** Whether a server is in the region of the voter that leads. */
    boolean nearLeader(int server) {
        return zone(server) < ZONES_OF_FIRST_REGION;
    }

    /** The servers of a rack. */
    BitSet rack(int number) {
        BitSet all = new BitSet();
        int first = number * RACK % servers;
        all.set(first, Math.min(servers, first + RACK));
        return all;
    }

    /** The servers of a zone. */
    BitSet zoneServers(int zone) {
        BitSet all = new BitSet();
        for (int server = 0; server < servers; server++) {
            all.set(server, zone(server) == zone);
        }
        return all;
    }

    /** The servers of the region that the voter that leads is not in. */
    BitSet farRegion() {
        BitSet all = new BitSet();
        for (int server = 0; server < servers; server++) {
            all.set(server, !nearLeader(server));
        }
        return all;
    }

    /** The servers that a fault hits; which of several of the kind is drawn. */
    BitSet hitBy(PlannedFault.Kind kind, SplittableRandom random) {
        return switch (kind) {
            case RACK -> rack(random.nextInt(Math.max(1, servers / RACK)));
            case ZONE -> zoneServers(random.nextInt(ZONES));
            case REGIONS_CUT -> farRegion();
            default -> one(random.nextInt(servers));
        };
    }

    private static BitSet one(int server) {
        BitSet one = new BitSet();
        one.set(server);
        return one;
    }
}
