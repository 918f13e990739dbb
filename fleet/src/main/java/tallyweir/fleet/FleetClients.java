package tallyweir.fleet;

import java.util.Map;
import java.util.Set;

/**
 * Opens clients of a fleet. A {@link java.util.ServiceLoader} service, provided by the consensus module if that is
 * present.
 */
public interface FleetClients {
    /**
     * Opens a server's client, and starts the voter if the server is one of the voters.
     *
     * @param fleet the fleet's name
     * @param voters addresses (host and port) by voter name
     * @param self the server's name
     * @param dir directory of the server's log if it is a voter
     * @param settings used to create the fleet; a running fleet takes them over if their version is higher
     * @param disabledGuards guards that are off, for tests only; without {@link Guard#ROOT}, partial tables are passed on unchecked as
     *     they arrive
     */
    FleetClient open(
            String fleet,
            Map<String, String> voters,
            String self,
            String dir,
            FleetSettings settings,
            Set<Guard> disabledGuards);
}
