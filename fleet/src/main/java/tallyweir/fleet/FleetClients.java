package tallyweir.fleet;

import java.util.Map;
import java.util.Set;

/** Opens clients of a fleet. A service for {@link java.util.ServiceLoader}, found where the consensus module is present. */
public interface FleetClients {
    /**
     * Opens a server's client, and starts the voter where the server is one of them.
     *
     * @param fleet the fleet's name
     * @param voters addresses (host and port) by the names of the voters
     * @param self the server's name
     * @param dir where the server keeps its log if it is a voter
     * @param settings by which the fleet is founded, or which a running fleet is given if their version is higher
     * @param without guards that are off, for checks only; of {@link Guard#ROOT}, tables are handed over as they grow, unchecked
     */
    FleetClient open(
            String fleet,
            Map<String, String> voters,
            String self,
            String dir,
            FleetSettings settings,
            Set<Guard> without);
}
