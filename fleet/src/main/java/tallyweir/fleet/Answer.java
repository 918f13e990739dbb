package tallyweir.fleet;

import java.util.Map;
import tallyweir.ids.TenantId;

/** The replicated state's answer to a {@link Command}. Durations are tenths of a millisecond. */
public sealed interface Answer {
    /**
     * The server has been given a slot. It counts as live only once it has reported that it acts on the revision in force.
     *
     * @param incarnation the incarnation that the server's reports must name
     * @param slots number of slots of the fleet, each of which has a floor
     * @param floorShare the share of a cap that is divided among the slots as floors
     * @param maxReportDelay time until the next report, at most, by the server's clock
     */
    record Joined(Incarnation incarnation, int slots, double floorShare, long maxReportDelay) implements Answer {}

    /**
     * A report was accepted.
     *
     * @param reportNumber the number of the report
     * @param leaseDuration how long the server may use the connections lent to it, by its own clock and counted from when it sent this
     *     report; 0 while it is not a member
     * @param floorLeaseDuration how long it may use its floors, counted likewise
     * @param floorsFree whether floors that are higher than before may be used, because nothing is lent against them any more
     * @param inForce the revision in force
     * @param inForceDuration how long that revision has been in force
     * @param proposed the proposed revision, NONE if there is none
     * @param grants what the server is lent by tenant; tenants without a share are left out
     * @param maxReportDelay time until the next report, at most, by the server's clock
     */
    record ReportAccepted(
            long reportNumber,
            long leaseDuration,
            long floorLeaseDuration,
            boolean floorsFree,
            RevisionRoot inForce,
            long inForceDuration,
            RevisionRoot proposed,
            Map<TenantId, Grant> grants,
            long maxReportDelay)
            implements Answer {}

    /**
     * The command was carried out.
     *
     * @param revision the revision that the command made, if it was about one
     */
    record Done(RevisionId revision) implements Answer {}

    /**
     * The change was accepted and waits until the proposed revision has been decided. Sending the same command again returns
     * its outcome.
     *
     * @param ahead number of changes that wait ahead of it
     */
    record Waiting(int ahead) implements Answer {}

    /** The command was rejected and nothing has changed. */
    record Refused(Fault fault) implements Answer {}
}
