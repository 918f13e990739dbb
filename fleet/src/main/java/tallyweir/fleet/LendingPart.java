package tallyweir.fleet;

import java.util.List;
import tallyweir.ids.TenantId;

/** A piece of a snapshot of {@link Lending}. The pieces may be loaded in any order. */
public sealed interface LendingPart {
    /** Which revision's caps are lent. */
    record RevisionState(long revision) implements LendingPart {}

    /** The revision that a place acts under, as far as its floors go. */
    record PlaceState(int place, long revision) implements LendingPart {}

    /**
     * What is lent of one tenant's cap.
     *
     * @param level up to which the wishes of all places were met when that was last worked out
     * @param levelAt when that was, Long.MIN_VALUE if it is to be worked out anew
     * @param turn who was first then to get what does not divide
     * @param earlierFloors oldest first
     */
    record PoolState(
            TenantId tenant,
            int cap,
            int level,
            long levelAt,
            int turn,
            List<EarlierFloor> earlierFloors,
            List<ShareState> shares)
            implements LendingPart {}

    /**
     * A floor that places may still have by an earlier revision.
     *
     * @param until the revision from which on the floor was lower
     */
    record EarlierFloor(long until, int floor) {}

    /**
     * What one place holds of one tenant's cap beyond its floor.
     *
     * @param extra whether it gets one more than the level
     */
    record ShareState(int place, int granted, int want, boolean extra) {}
}
