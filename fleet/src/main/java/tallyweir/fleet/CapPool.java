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
    private static final int NO_LEVEL = Integer.MAX_VALUE; // everybody's demand fits
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
    private long granted; // sum over all slots
    private long wanted; // sum over all slots
    private int level = NO_LEVEL;
    private long levelAt = NEVER;
    private int turn;

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
        return granted;
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
    void change(int newCap, int newFloor, long revision) {
        earlierFloors.addLast(new LendingPart.EarlierFloor(revision, floor));
        while (!earlierFloors.isEmpty() && earlierFloors.getLast().floor() <= newFloor) {
            earlierFloors.removeLast();
        }
        cap = newCap;
        floor = newFloor;
        levelAt = NEVER;
    }

    boolean hasEarlierFloors() {
        return !earlierFloors.isEmpty();
    }

    /** Drops the floors that ended by a revision, once no slot acts on an earlier revision than that one. */
    void forgetFloorsBefore(long revision) {
        while (!earlierFloors.isEmpty() && earlierFloors.getFirst().until() <= revision) {
            earlierFloors.removeFirst();
        }
    }

    /**
     * The sum over all slots of how much the floor that a slot may use under an earlier revision exceeds the current
     * floor.
     */
    long floorsOver(PlacesByRevision places) {
        long over = 0;
        long from = Long.MIN_VALUE;
        for (LendingPart.EarlierFloor earlier : earlierFloors) {
            over += (long) places.between(from, earlier.until()) * (earlier.floor() - floor);
            from = earlier.until();
        }
        return over;
    }

    /**
     * Takes a slot's reported need and lends it more at once, as far as it is entitled to more and something is free.
     */
    Grant report(int place, Need need, long lendable, long now, long levelEvery) {
        Share share = shares.computeIfAbsent(place, x -> new Share());
        int kept = Math.min(share.granted, Math.max(0, need.keep()));
        set(share, kept, need.want());
        if (cap != Caps.UNCAPPED) {
            lend(share, lendable, now, levelEvery);
        }
        if (share.granted == 0 && share.want == 0) {
            shares.remove(place);
        }
        return new Grant(share.granted, target(share));
    }

    private void set(Share share, int nowGranted, int nowWanted) {
        granted += nowGranted - share.granted;
        wanted += nowWanted - share.want;
        share.granted = nowGranted;
        share.want = nowWanted;
    }

    private void lend(Share share, long lendable, long now, long levelEvery) {
        if (wanted <= lendable) {
            level = NO_LEVEL;
            levelAt = NEVER;
        } else if (levelAt == NEVER || now - levelAt >= levelEvery) {
            level(lendable, now);
        }
        long more = Math.min(target(share) - share.granted, lendable - granted);
        if (more > 0) {
            set(share, share.granted + (int) more, share.want);
        }
    }

    private int target(Share share) {
        if (cap == Caps.UNCAPPED) {
            return share.granted;
        }
        return level == NO_LEVEL ? share.want : Math.min(share.want, level + (share.extra ? 1 : 0));
    }

    /**
     * Computes the max-min fair level up to which every slot's demand is met. The remainder of the division goes to some of the
     * slots that want more, starting at another slot each time, so that under a cap smaller than their number each gets a
     * turn.
     */
    private void level(long lendable, long now) {
        List<Share> wanting = new ArrayList<>();
        for (Share share : shares.values()) {
            share.extra = false;
            if (share.want > 0) {
                wanting.add(share);
            }
        }
        long left = share(wanting, Math.max(0, lendable));
        levelAt = now;
        giveExtras(wanting, left);
        turn = wanting.isEmpty() ? 0 : (turn + 1) % wanting.size();
    }

    /** Sets the level and returns the remainder that does not divide evenly. */
    private long share(List<Share> wanting, long lendable) {
        List<Share> byWant = new ArrayList<>(wanting);
        byWant.sort(Comparator.comparingInt(share -> share.want));
        long left = lendable;
        level = 0;
        for (int i = 0; i < byWant.size(); i++) {
            int others = byWant.size() - i;
            long each = left / others;
            if (byWant.get(i).want > each) {
                level = (int) each;
                return left - each * others;
            }
            left -= byWant.get(i).want;
        }
        return left;
    }

    private void giveExtras(List<Share> wanting, long extras) {
        long left = extras;
        for (int i = 0; i < wanting.size() && left > 0; i++) {
            Share share = wanting.get((turn + i) % wanting.size());
            if (share.want > level) {
                share.extra = true;
                left--;
            }
        }
    }

    /** What a slot holds and should hold; zeros if it has no share. */
    Grant lent(int place) {
        Share share = shares.get(place);
        return share == null ? new Grant(0, 0) : new Grant(share.granted, target(share));
    }

    /** Whether a slot holds or wants anything. */
    boolean concerns(int place) {
        Share share = shares.get(place);
        return share != null && (share.granted > 0 || share.want > 0);
    }

    /** Takes back all that a slot was lent, once none of it can be in use there any more. */
    void back(int place) {
        Share share = shares.get(place);
        if (share != null) {
            set(share, 0, 0);
        }
    }

    /** Takes back all that a slot was lent and drops its share. */
    void remove(int place) {
        back(place);
        shares.remove(place);
    }

    // ---- for snapshots

    LendingPart.PoolState save() {
        List<LendingPart.ShareState> saved = new ArrayList<>();
        shares.forEach(
                (place, share) -> saved.add(new LendingPart.ShareState(place, share.granted, share.want, share.extra)));
        return new LendingPart.PoolState(tenant, cap, level, levelAt, turn, List.copyOf(earlierFloors), saved);
    }

    void load(LendingPart.PoolState state) {
        level = state.level();
        levelAt = state.levelAt();
        turn = state.turn();
        earlierFloors.addAll(state.earlierFloors());
        for (LendingPart.ShareState saved : state.shares()) {
            Share share = new Share();
            shares.put(saved.place(), share);
            set(share, saved.granted(), saved.want());
            share.extra = saved.extra();
        }
    }
}
