package tallyweir.fleet;

import java.util.Map;
import tallyweir.ids.TenantId;

/** What the shared state answers to a {@link Command}. */
public sealed interface Answer {
    /**
     * A server has a place, and is to show first that what is in force is in force there.
     *
     * @param places how many the fleet has, each with its floor
     * @param floorShare the part of a cap that is spread over them
     * @param next how soon it should report, by its own clock
     */
    record Joined(Incarnation as, int places, double floorShare, long next) implements Answer {}

    /**
     * A report was taken.
     *
     * @param number of the report
     * @param lease how long it may rely on what it is lent, by its own clock and from when it sent this report; 0 while it
     *     is not a member
     * @param floorLease so with its floors
     * @param floorsFree whether floors that are higher than before may be used: nothing lent stands against them any more
     * @param inForce the revision in force
     * @param age how long that has been in force
     * @param toCheck the revision that is proposed, NONE where there is none
     * @param shares what it is lent, only tenants with anything
     * @param next how soon it should report again at the latest, by its own clock
     */
    record Told(
            long number,
            long lease,
            long floorLease,
            boolean floorsFree,
            RevisionRoot inForce,
            long age,
            RevisionRoot toCheck,
            Map<TenantId, Grant> shares,
            long next)
            implements Answer {}

    /** Done, under this number where it is about a revision. */
    record Done(RevisionId revision) implements Answer {}

    /** Taken; it comes with the next revision once the one that is open has been decided. The same command again tells. */
    record Waiting(int ahead) implements Answer {}

    /** Turned down; nothing has changed. */
    record Refused(Fault why) implements Answer {}
}
