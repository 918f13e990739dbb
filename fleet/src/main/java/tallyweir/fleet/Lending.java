package tallyweir.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import tallyweir.ids.TenantId;

/**
 * Divides the caps on tenants' connections among the servers: each slot of the fleet has a floor that is never lent, and
 * the rest of the cap is lent in shares. The floors that servers may rely on plus all that is lent never exceed the cap,
 * except while a lowered cap comes into force: then nothing more is lent until the sum fits again.
 *
 * <p>A pool exists only for a tenant of which something is lent, or whose floor was higher in a revision that some slot
 * still applies; for all others the cap alone determines the state. So a change costs time in proportion to the caps that
 * differ, and an operation on a slot in proportion to the tenants that it holds or names.
 *
 * <p>Times are tenths of a millisecond by the fleet's clock. Not thread-safe: used by the thread that applies the log.
 */
final class Lending {
    static final int UNCAPPED = Caps.UNCAPPED;

    private static final Need NO_NEED = new Need(0, 0);
    private static final Comparator<TenantId> BY_NAME = Comparator.comparing(TenantId::value);

    private final boolean floorsLent; // floors are lent too: only where a check has switched the guard off
    private final Caps caps; // of the revision in force
    private final Map<TenantId, CapPool> pools = new HashMap<>();
    private final Map<Integer, Map<TenantId, CapPool>> poolsBySlot = new HashMap<>(); // pools with a share of the slot
    private final SlotsByRevision slots = new SlotsByRevision();
    private final TreeMap<Long, List<TenantId>> loweredTenantsByRevision =
            new TreeMap<>(); // keyed by the revision that lowered the tenants' floors
    private final Set<TenantId> overcommitted = new LinkedHashSet<>(); // may hold some that fit by now
    private int maxSlots;
    private double floorShare;
    private long levelInterval;
    private long revision;
    private boolean floorsFree; // under the caps in force; once true, stays true until the next revision
    private long poolsVisited;

    /**
     * @param floorsLent whether floors are lent too, which is wrong and only for checks
     * @param caps always the caps of the revision in force; may change only right before {@link #applyCaps(long, List)}
     */
    Lending(boolean floorsLent, Caps caps) {
        this.floorsLent = floorsLent;
        this.caps = caps;
    }

    /**
     * Sets the parameters. The number of slots and the floor share can be set only before any pool exists.
     *
     * @param floorShare the fraction of each cap that is spread over all slots as floors
     * @param levelInterval minimum interval between computations of the max-min level while demand exceeds the cap
     */
    void settings(int slotCount, double floorShare, long levelInterval) {
        boolean floorsDiffer = slotCount != maxSlots || floorShare != this.floorShare;
        if (floorsDiffer && !pools.isEmpty()) {
            throw new IllegalStateException("the slot count and the floor share cannot change while pools are in use");
        }
        maxSlots = slotCount;
        this.floorShare = floorShare;
        this.levelInterval = levelInterval;
    }

    /** The floor of each slot under a cap. */
    int floor(int cap) {
        return cap == UNCAPPED ? 0 : Gate.floor(cap, floorShare, maxSlots);
    }

    // ---- revisions

    /** Applies the changed caps of a new revision in force. Grants beyond a lowered cap are returned as servers report. */
    void applyCaps(long newRevision, List<CapChange> changes) {
        revision = newRevision;
        floorsFree = false;
        changes.forEach(this::change);
    }

    private void change(CapChange change) {
        CapPool pool = pools.get(change.tenant());
        int newFloor = floor(change.after());
        if (pool == null) {
            if (newFloor >= floor(change.before())) {
                return; // nothing is lent and no slot has a higher floor
            }
            pool = pool(change.tenant(), change.before());
        }
        poolsVisited++;
        pool.changeCap(change.after(), newFloor, revision);
        pool.forgetFloorsBefore(slots.oldestRevision());
        if (pool.hasEarlierFloors()) {
            loweredTenantsByRevision
                    .computeIfAbsent(revision, r -> new ArrayList<>())
                    .add(pool.tenant());
        }
        if (!fits(pool)) {
            overcommitted.add(pool.tenant());
        }
        dropIfIdle(pool);
    }

    private CapPool pool(TenantId tenant, int cap) {
        return pools.computeIfAbsent(tenant, t -> new CapPool(t, cap, floor(cap)));
    }

    private void dropIfIdle(CapPool pool) {
        if (pool.isIdle()) {
            pools.remove(pool.tenant());
        }
    }

    /**
     * Notes that a slot applies another revision than before. A server uses a raised floor only after the fleet has told it
     * that floors are free, which happens only for the revision in force; so a slot that is new here has no floor from any
     * earlier revision.
     */
    void slotApplied(int slot, long newRevision) {
        if (!slots.contains(slot)) {
            slots.put(slot, revision);
        } else if (newRevision > slots.revision(slot)) {
            slots.put(slot, Math.min(newRevision, revision));
            forgetEarlierFloors();
        }
    }

    /** Drops the floors of revisions that no slot applies any more. */
    private void forgetEarlierFloors() {
        long oldest = slots.oldestRevision();
        while (!loweredTenantsByRevision.isEmpty() && loweredTenantsByRevision.firstKey() <= oldest) {
            for (TenantId tenant : loweredTenantsByRevision.pollFirstEntry().getValue()) {
                CapPool pool = pools.get(tenant);
                if (pool != null) {
                    poolsVisited++;
                    pool.forgetFloorsBefore(oldest);
                    dropIfIdle(pool);
                }
            }
        }
    }

    /** Whether the floors of all slots plus what is lent fit into each cap, so that all floors may be used. */
    boolean floorsFree() {
        if (floorsFree) {
            return true;
        }
        // A pool that fits keeps fitting until its cap changes, so each entry is removed at most once per insertion.
        Iterator<TenantId> waiting = overcommitted.iterator();
        while (waiting.hasNext()) {
            CapPool pool = pools.get(waiting.next());
            if (pool != null) {
                poolsVisited++;
                if (!fits(pool)) {
                    return false;
                }
            }
            waiting.remove();
        }
        floorsFree = true;
        return true;
    }

    private boolean fits(CapPool pool) {
        return pool.cap() == UNCAPPED || committed(pool) <= pool.cap();
    }

    // ---- slots

    /**
     * Takes a slot's report of its needs. It has returned whatever it does not name. Anything more that it may have is lent
     * at once as far as there is any left.
     *
     * @return what the slot is lent now, by tenant in the order of their names
     */
    Map<TenantId, Grant> report(int slot, Map<TenantId, Need> needs, long now) {
        if (!slots.contains(slot)) {
            slots.put(slot, revision); // from now on it may be told that floors are free
        }
        for (CapPool pool : List.copyOf(poolsOfSlot(slot))) {
            if (!needs.containsKey(pool.tenant())) {
                report(pool, slot, NO_NEED, now);
            }
        }
        needs.forEach((tenant, need) -> {
            CapPool known = pools.get(tenant);
            report(known != null ? known : pool(tenant, caps.of(tenant)), slot, need, now);
        });
        return lent(slot);
    }

    private void report(CapPool pool, int slot, Need need, long now) {
        poolsVisited++;
        pool.updateNeed(slot, need, lendable(pool), now, levelInterval);
        if (pool.holdsOrWants(slot)) {
            poolsBySlot.computeIfAbsent(slot, p -> new HashMap<>()).put(pool.tenant(), pool);
        } else {
            removeShare(pool, slot);
        }
    }

    private void removeShare(CapPool pool, int slot) {
        pool.remove(slot);
        Map<TenantId, CapPool> ofSlot = poolsBySlot.get(slot);
        if (ofSlot != null && ofSlot.remove(pool.tenant()) != null && ofSlot.isEmpty()) {
            poolsBySlot.remove(slot);
        }
        dropIfIdle(pool);
    }

    /** The total that may be lent, including what is lent already. */
    private long lendable(CapPool pool) {
        return floorsLent ? pool.cap() : pool.cap() - floors(pool);
    }

    /** The floors of all slots, plus the excess of floors that slots may still use from earlier revisions. */
    private long floors(CapPool pool) {
        return (long) pool.floor() * maxSlots + pool.excessOfEarlierFloors(slots);
    }

    private Collection<CapPool> poolsOfSlot(int slot) {
        return poolsBySlot.getOrDefault(slot, Map.of()).values();
    }

    /** What a slot is lent, without changing anything; for the answer to a repeated report. */
    Map<TenantId, Grant> lent(int slot) {
        Map<TenantId, Grant> grants = new TreeMap<>(BY_NAME);
        for (CapPool pool : poolsOfSlot(slot)) {
            poolsVisited++;
            if (pool.holdsOrWants(slot)) {
                grants.put(pool.tenant(), pool.grantOf(slot));
            }
        }
        return grants;
    }

    /** Takes back everything that a slot was lent: none of it can be in use there any more. */
    void reclaim(int slot) {
        for (CapPool pool : poolsOfSlot(slot)) {
            poolsVisited++;
            pool.reclaim(slot);
        }
    }

    /** Frees a slot: no server relies on its floors or grants any more. */
    void releaseSlot(int slot) {
        for (CapPool pool : List.copyOf(poolsOfSlot(slot))) {
            poolsVisited++;
            removeShare(pool, slot);
        }
        slots.remove(slot);
        forgetEarlierFloors();
    }

    /** Whether a slot was lent anything that it has not returned. */
    boolean hasGrants(int slot) {
        for (CapPool pool : poolsOfSlot(slot)) {
            poolsVisited++;
            if (pool.grantOf(slot).granted() > 0) {
                return true;
            }
        }
        return false;
    }

    // ---- queries

    /** How much of a tenant's cap may be relied on: the floors of all slots plus what is lent. */
    long committed(TenantId tenant) {
        CapPool pool = pools.get(tenant);
        return pool == null ? (long) floor(caps.of(tenant)) * maxSlots : committed(pool);
    }

    private long committed(CapPool pool) {
        return floors(pool) + pool.granted();
    }

    /** How much of a tenant's cap is lent. */
    long granted(TenantId tenant) {
        CapPool pool = pools.get(tenant);
        return pool == null ? 0 : pool.granted();
    }

    /** By how much the floors that slots may use from earlier revisions exceed those of the revision in force, in total. */
    long excessFloors(TenantId tenant) {
        CapPool pool = pools.get(tenant);
        return pool == null ? 0 : pool.excessOfEarlierFloors(slots);
    }

    /** The number of pools. */
    int poolCount() {
        return pools.size();
    }

    /** How many pools were visited so far: the cost of the inputs, for tests. */
    long poolsVisited() {
        return poolsVisited;
    }

    // ---- for snapshots

    /** Writes all state that cannot be derived from the caps, in parts, always in the same order. */
    void save(Consumer<LendingPart> to) {
        to.accept(new LendingPart.RevisionState(revision));
        slots.forEach((slot, applied) -> to.accept(new LendingPart.PlaceState(slot, applied)));
        pools.values().stream()
                .sorted(Comparator.comparing(CapPool::tenant, BY_NAME))
                .forEach(pool -> to.accept(pool.save()));
    }

    /** Loads one part that another instance saved; this one must be new except for its settings. */
    void load(LendingPart part) {
        if (part instanceof LendingPart.RevisionState state) {
            revision = state.revision();
        } else if (part instanceof LendingPart.PlaceState state) {
            slots.put(state.slot(), state.revision());
        } else if (part instanceof LendingPart.PoolState state) {
            load(state);
        }
    }

    private void load(LendingPart.PoolState state) {
        CapPool pool = pool(state.tenant(), state.cap());
        pool.load(state);
        overcommitted.add(pool.tenant()); // floorsFree() removes it if it fits
        for (LendingPart.EarlierFloor earlier : state.earlierFloors()) {
            loweredTenantsByRevision
                    .computeIfAbsent(earlier.untilRevision(), r -> new ArrayList<>())
                    .add(pool.tenant());
        }
        for (LendingPart.ShareState share : state.shares()) {
            poolsBySlot.computeIfAbsent(share.slot(), p -> new HashMap<>()).put(pool.tenant(), pool);
        }
    }
}
