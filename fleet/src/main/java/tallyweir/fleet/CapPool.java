package tallyweir.fleet;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.TreeMap;
import tallyweir.ids.TenantId;

/**
 * One tenant's cap: the shares that places hold of it, and the floors that places may still have by earlier revisions.
 * What may be lent is worked out by {@link Lending} and handed in.
 */
final class CapPool {
    private static final int NO_LEVEL = Integer.MAX_VALUE; // there is enough for all
    private static final long NEVER = Long.MIN_VALUE;

    /** What one place holds beyond its floor. */
    private static final class Share {
        int granted;
        int want;
        boolean extra; // gets one more than the level where the cap does not divide
    }

    private final TenantId tenant;
    private final TreeMap<Integer, Share> shares = new TreeMap<>(); // by place
    private final ArrayDeque<LendingPart.EarlierFloor> earlierFloors =
            new ArrayDeque<>(); // falling, all above the floor
    private int cap;
    private int floor;
    private long granted; // of all places
    private long wanted; // of all places
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

    /** Whether nothing is held and no earlier floor is remembered: then the cap alone tells all. */
    boolean isIdle() {
        return shares.isEmpty() && earlierFloors.isEmpty();
    }

    /**
     * Another cap from a revision on. Whoever acts under an earlier revision may have the highest floor that there was
     * from that revision on, since it may be ahead of its last report. So a floor is remembered only until an equal or
     * higher one follows, and those that are remembered fall.
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

    /** No place acts under an earlier revision than this one. */
    void forgetFloorsBefore(long revision) {
        while (!earlierFloors.isEmpty() && earlierFloors.getFirst().until() <= revision) {
            earlierFloors.removeFirst();
        }
    }

    /** By how much the floors that places may have by earlier revisions are higher than the floor, all together. */
    long floorsOver(PlacesByRevision places) {
        long over = 0;
        long from = Long.MIN_VALUE;
        for (LendingPart.EarlierFloor earlier : earlierFloors) {
            over += (long) places.between(from, earlier.until()) * (earlier.floor() - floor);
            from = earlier.until();
        }
        return over;
    }

    /** A place says what it needs; what it may have more is lent at once where there is any. */
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
     * Works out the level up to which everybody's wish is met (max-min). What does not divide goes to some of those who
     * want more, each time to others, so that under a cap smaller than their number each has its turn.
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

    /** Sets the level, and returns what is left because it does not divide. */
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

    /** What a place holds, or nothing and no wish if it has no share. */
    Grant lent(int place) {
        Share share = shares.get(place);
        return share == null ? new Grant(0, 0) : new Grant(share.granted, target(share));
    }

    /** Whether a place holds something or wants to. */
    boolean concerns(int place) {
        Share share = shares.get(place);
        return share != null && (share.granted > 0 || share.want > 0);
    }

    /** Nothing that a place was lent can be in use there any more. */
    void back(int place) {
        Share share = shares.get(place);
        if (share != null) {
            set(share, 0, 0);
        }
    }

    /** A place has no share any more. */
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
