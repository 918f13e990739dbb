package tallyweir.fleet;

import java.util.List;
import tallyweir.ids.TenantId;

/** A part of a snapshot of {@link Lending}. Parts may be loaded in any order. */
public sealed interface LendingPart {
    /** The revision whose caps are lent. */
    record RevisionState(long revision) implements LendingPart {}

    /** The revision that a slot applies, as far as its floors are concerned. */
    record PlaceState(int slot, long revision) implements LendingPart {}

    /**
     * What is lent of one tenant's cap.
     *
     * @param level max-min level: the share up to which the demand of every slot is met, as last computed
     * @param levelComputedAt when the level was computed, Long.MIN_VALUE if it is to be computed anew
     * @param extraTurn index, among the slots with demand, of the one that is next to get a unit that does not divide evenly
     * @param earlierFloors oldest first
     */
    record PoolState(
            TenantId tenant,
            int cap,
            int level,
            long levelComputedAt,
            int extraTurn,
            List<EarlierFloor> earlierFloors,
            List<ShareState> shares)
            implements LendingPart {}

    /**
     * A floor that slots may still use from an earlier revision.
     *
     * @param untilRevision the first revision in which the floor was lower
     */
    record EarlierFloor(long untilRevision, int floor) {}

    /**
     * What one slot holds of one tenant's cap beyond its floor.
     *
     * @param hasExtra whether it gets one more than the level
     */
    record ShareState(int slot, int granted, int wanted, boolean hasExtra) {}
}
