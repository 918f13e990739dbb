package tallyweir.tool.scale;

import java.util.List;

/**
 * What a run of a fleet showed.
 *
 * @param changes that were asked for
 * @param unfinished changes that not all acted on when the run ended
 * @param inForceMedian seconds from when a change was asked for until all act on it
 * @param inForceHigh so at the 99th percentile
 * @param stoodBack how often a server that ran and could be reached stood back
 * @param capsPassed how often a tenant was seen above its cap
 * @param fullestCap the largest part of a cap that was seen in use
 * @param digest over all messages, empty where there is none
 */
record RunResult(
        int changes,
        int unfinished,
        double inForceMedian,
        double inForceHigh,
        List<RoleUse> roles,
        List<FaultOutcome> faults,
        int stoodBack,
        long capsPassed,
        double fullestCap,
        List<String> findings,
        String digest) {
    /** The use of the servers. */
    RoleUse server() {
        return roles.stream()
                .filter(role -> role.role().equals(Roles.SERVER))
                .findAny()
                .orElseThrow();
    }

    /** The same with the memory of a server, which is measured apart. */
    RunResult withServerMemory(long bytes) {
        List<RoleUse> with = roles.stream()
                .map(role -> role.role().equals(Roles.SERVER) ? role.withMemory(bytes) : role)
                .toList();
        return new RunResult(
                changes,
                unfinished,
                inForceMedian,
                inForceHigh,
                with,
                faults,
                stoodBack,
                capsPassed,
                fullestCap,
                findings,
                digest);
    }
}
