package tallyweir.fleet;

import java.util.Map;
import tallyweir.ids.TenantId;

/** What the shared state answers. Each input has exactly one of these calls. */
public interface Answers {
    /**
     * A server has a place, and is to show first that what is in force is in force there.
     *
     * @param places how many the fleet has, each with its floor
     * @param floorShare the part of a cap that is spread over them
     * @param next how soon it should report, by its own clock
     */
    default void joined(Incarnation as, int places, double floorShare, long next) {
        throw new IllegalStateException("nobody here asked for a place");
    }

    /**
     * A report was taken.
     *
     * @param number of the report
     * @param lease how long it may rely on what it is lent, by its own clock and from when it sent this report; 0 while
     *     it is not a member
     * @param floorLease so with its floors
     * @param floorsFree whether floors that are higher than before may be used: nothing lent stands against them any more
     * @param inForce the revision in force
     * @param age how long that has been in force
     * @param toCheck the revision that is proposed, NONE where there is none
     * @param shares what it is lent, only tenants with anything
     * @param next how soon it should report again at the latest, by its own clock
     */
    default void told(
            long number,
            long lease,
            long floorLease,
            boolean floorsFree,
            RevisionId inForce,
            long age,
            RevisionId toCheck,
            Map<TenantId, Grant> shares,
            long next) {
        throw new IllegalStateException("nobody here reported");
    }

    /** Done, under this number where it is about a revision. */
    void done(RevisionId revision);

    void refused(Fault why);
}
