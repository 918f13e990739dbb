package tallyweir.fleet;

import java.util.Map;

/** Opens the way to a fleet; found by ServiceLoader where its libraries are there. */
public interface Seating {
    /**
     * @param voters names and addresses of who keeps the log; where self is one of them, it does so in dir
     * @param settings by which the fleet is founded
     */
    Way open(String fleet, Map<String, String> voters, String self, String dir, FleetSettings settings);
}
