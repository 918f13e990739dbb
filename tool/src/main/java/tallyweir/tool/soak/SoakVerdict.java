package tallyweir.tool.soak;

import java.util.List;
import tallyweir.stand.RequestOutcome;

/**
 * What a soak has shown of one backend, or of all.
 *
 * @param lost requests whose callers were owed an answer that they did not get
 * @param twice requests that ran, or were answered, more than once
 * @param late answers after their due time
 * @param afterGrace requests that arrived after the grace and ran all the same
 */
record SoakVerdict(
        long requests,
        long answered,
        long kills,
        long drains,
        long failedCalls,
        long otherFaults,
        List<RequestOutcome> lost,
        long twice,
        List<RequestOutcome> late,
        long afterGrace) {
    boolean isVoid() {
        return requests == 0 || drains == 0 || failedCalls == 0;
    }

    boolean holds() {
        return !isVoid() && lost.isEmpty() && twice == 0 && late.isEmpty() && afterGrace == 0;
    }

    String line(long seed) {
        return "soak: seed " + seed + ", requests " + requests + ", answered " + answered + ", kills " + kills
                + ", drains "
                + drains + ", failed calls " + failedCalls + ", other faults " + otherFaults + ", lost " + lost.size()
                + ", twice " + twice + ", late " + late.size() + ", after grace " + afterGrace
                + (isVoid() ? ": void, without requests, drains or failed calls" : "");
    }
}
