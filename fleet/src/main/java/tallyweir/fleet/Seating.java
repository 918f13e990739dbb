package tallyweir.fleet;

import java.util.Map;

/** Opens the way to a fleet; found by ServiceLoader where its libraries are there. */
public interface Seating {
    /**
     * @param voters names and addresses of who keeps the log; where self is one of them, it does so in dir
     * @param version of the settings that follow, by which the fleet is founded; times in tenths of a millisecond
     * @see State#found
     */
    Way open(
            String fleet,
            Map<String, String> voters,
            String self,
            String dir,
            long version,
            long lease,
            long tail,
            long floorLease,
            long behindMost,
            double drift,
            double mostOut,
            double mostCannot,
            int serversMost,
            double floorShare,
            long probation,
            double worseRatio,
            double sickShare);
}
