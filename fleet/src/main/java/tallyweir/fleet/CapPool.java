package tallyweir.fleet;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.TreeMap;
import tallyweir.ids.TenantId;

/**
 * One tenant's cap: the shares of it that are lent to slots, and the floors that slots may still use under earlier revisions.
 * {@link Lending} computes how much may be lent and passes it in.
 */
final class CapPool {
    private static final int UNLIMITED = Integer.MAX_VALUE; // everybody's demand fits
    private static final long NEVER = Long.MIN_VALUE;

    /** What one slot holds beyond its floor. */
    private static final class Share {
        int granted;
        int want;
        boolean extra; // gets one more than the level, of the remainder of the division
    }

    private final TenantId tenant;
    private final TreeMap<Integer, Share> shares = new TreeMap<>(); // by slot
    private final ArrayDeque<LendingPart.EarlierFloor> earlierFloors =
            new ArrayDeque<>(); // oldest first, in descending order of floor, all above the current floor
    private int cap;
    private int floor;
    private long totalGranted; // sum over all slots
    private long totalWanted; // sum over all slots
    private int fairLevel = UNLIMITED;
    private long levelComputedAt = NEVER;
    private int firstExtra;

    CapPool(TenantId tenant, int cap, int floor) {
        this.tenant = tenant;
        this.cap = cap;
        this.floor = floor;
    }

    TenantId tenant() {
        return tenant;
    }

    int cap() {
        return cap;
    }

    int floor() {
        return floor;
    }

    long granted() {
        return totalGranted;
    }

    /**
     * Whether no slot has a share and no earlier floor is recorded, so that the pool can be rebuilt from the cap alone.
     */
    boolean isIdle() {
        return shares.isEmpty() && earlierFloors.isEmpty();
    }

    /**
     * Sets the cap and floor that apply from a revision on. A server that acts on an earlier revision may use the highest floor
     * since that revision, because it may be ahead of its last report. A floor is therefore recorded only until an equal or
     * higher one follows, which keeps the recorded floors in descending order.
     */
    void changeCap(int newCap, int newFloor, long fromRevision) {
        earlierFloors.addLast(new LendingPart.EarlierFloor(fromRevision, floor));
        while (!earlierFloors.isEmpty() && earlierFloors.getLast().floor() <= newFloor) {
            earlierFloors.removeLast();
        }
        cap = newCap;
        floor = newFloor;
        levelComputedAt = NEVER;
    }

    boolean hasEarlierFloors() {
        return !earlierFloors.isEmpty();
    }

    /** Drops the floors that ended by a revision, once no slot acts on an earlier revision than that one. */
    void forgetFloorsBefore(long revision) {
        while (!earlierFloors.isEmpty() && earlierFloors.getFirst().untilRevision() <= revision) {
            earlierFloors.removeFirst();
        }
    }

    /**
     * The sum over all slots of how much the floor that a slot may use under an earlier revision exceeds the current
     * floor.
     */
    long excessOfEarlierFloors(SlotsByRevision slots) {
        long excess = 0;
        long from = Long.MIN_VALUE;
        for (LendingPart.EarlierFloor earlier : earlierFloors) {
            excess += (long) slots.countBetween(from, earlier.untilRevision()) * (earlier.floor() - floor);
            from = earlier.untilRevision();
        }
        return excess;
    }

    /**
     * Takes a slot's reported need and lends it more at once, as far as it is entitled to more and something is free.
     */
    Grant updateNeed(int slot, Need need, long lendable, long now, long levelInterval) {
        Share share = shares.computeIfAbsent(slot, x -> new Share());
        int kept = Math.min(share.granted, Math.max(0, need.kept()));
        set(share, kept, need.wanted());
        if (cap != Caps.UNCAPPED) {
            lend(share, lendable, now, levelInterval);
        }
        if (share.granted == 0 && share.want == 0) {
            shares.remove(slot);
        }
        return new Grant(share.granted, target(share));
    }

    private void set(Share share, int nowGranted, int nowWanted) {
        totalGranted += nowGranted - share.granted;
        totalWanted += nowWanted - share.want;
        share.granted = nowGranted;
        share.want = nowWanted;
    }

    private void lend(Share share, long lendable, long now, long levelInterval) {
        if (totalWanted <= lendable) {
            fairLevel = UNLIMITED;
            levelComputedAt = NEVER;
        } else if (levelComputedAt == NEVER || now - levelComputedAt >= levelInterval) {
            computeLevel(lendable, now);
        }
        long increase = Math.min(target(share) - share.granted, lendable - totalGranted);
        if (increase > 0) {
            set(share, share.granted + (int) increase, share.want);
        }
    }

    private int target(Share share) {
        if (cap == Caps.UNCAPPED) {
            return share.granted;
        }
        return fairLevel == UNLIMITED ? share.want : Math.min(share.want, fairLevel + (share.extra ? 1 : 0));
    }

    /**
     * Computes the max-min fair level up to which every slot's demand is met. The remainder of the division goes to some of the
     * slots that want more, starting at another slot each time, so that under a cap smaller than their number each gets a
     * turn.
     */
    private void computeLevel(long lendable, long now) {
        List<Share> wanting = new ArrayList<>();
        for (Share share : shares.values()) {
            share.extra = false;
            if (share.want > 0) {
                wanting.add(share);
            }
        }
        long remainder = setFairLevel(wanting, Math.max(0, lendable));
        levelComputedAt = now;
        distributeRemainder(wanting, remainder);
        firstExtra = wanting.isEmpty() ? 0 : (firstExtra + 1) % wanting.size();
    }

    /** Sets the level and returns the remainder that does not divide evenly. */
    private long setFairLevel(List<Share> wanting, long lendable) {
        List<Share> byWant = new ArrayList<>(wanting);
        byWant.sort(Comparator.comparingInt(share -> share.want));
        long remainder = lendable;
        fairLevel = 0;
        for (int i = 0; i < byWant.size(); i++) {
            int unserved = byWant.size() - i;
            long each = remainder / unserved;
            if (byWant.get(i).want > each) {
                fairLevel = (int) each;
                return remainder - each * unserved;
            }
            remainder -= byWant.get(i).want;
        }
        return remainder;
    }

    private void distributeRemainder(List<Share> wanting, long remainder) {
        long left = remainder;
        for (int i = 0; i < wanting.size() && left > 0; i++) {
            Share share = wanting.get((firstExtra + i) % wanting.size());
            if (share.want > fairLevel) {
                share.extra = true;
                left--;
            }
        }
    }

    /** What a slot holds and should hold; zeros if it has no share. */
    Grant grantOf(int slot) {
        Share share = shares.get(slot);
        return share == null ? new Grant(0, 0) : new Grant(share.granted, target(share));
    }

    /** Whether a slot holds or wants anything. */
    boolean holdsOrWants(int slot) {
        Share share = shares.get(slot);
        return share != null && (share.granted > 0 || share.want > 0);
    }

    /** Takes back all that a slot was lent, once none of it can be in use there any more. */
    void reclaim(int slot) {
        Share share = shares.get(slot);
        if (share != null) {
            set(share, 0, 0);
        }
    }

    /** Takes back all that a slot was lent and drops its share. */
    void remove(int slot) {
        reclaim(slot);
        shares.remove(slot);
    }

    // ---- for snapshots

    LendingPart.PoolState save() {
        List<LendingPart.ShareState> saved = new ArrayList<>();
        shares.forEach(
                (place, share) -> saved.add(new LendingPart.ShareState(place, share.granted, share.want, share.extra)));
        return new LendingPart.PoolState(
                tenant, cap, fairLevel, levelComputedAt, firstExtra, List.copyOf(earlierFloors), saved);
    }

    void load(LendingPart.PoolState state) {
        fairLevel = state.level();
        levelComputedAt = state.levelComputedAt();
        firstExtra = state.extraTurn();
        earlierFloors.addAll(state.earlierFloors());
        for (LendingPart.ShareState saved : state.shares()) {
            Share share = new Share();
            shares.put(saved.slot(), share);
            set(share, saved.granted(), saved.wanted());
            share.extra = saved.hasExtra();
        }
    }
}
