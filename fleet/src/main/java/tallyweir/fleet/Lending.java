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
 * The caps on tenants' connections: a floor for each place of the fleet, never lent, and the rest lent in shares. At any
 * moment the floors that any server may rely on and all that is lent make up no more than the cap, but while a cap that
 * was lowered comes into force: then nothing more is lent until they do.
 *
 * <p>There is a pool only for a tenant of which something is held, or whose floor was higher in a revision that some
 * place still acts under; of all others the cap tells everything. So a change costs as many caps as differ, and what
 * concerns a place costs what that place holds and names.
 */
final class Lending {
    static final int UNCAPPED = Caps.UNCAPPED;

    private static final Need NOTHING = new Need(0, 0);
    private static final Comparator<TenantId> BY_NAME = Comparator.comparing(TenantId::value);

    private final boolean floorsLent; // only where a check has switched the guard off
    private final Caps caps; // of the revision in force
    private final Map<TenantId, CapPool> pools = new HashMap<>();
    private final Map<Integer, Map<TenantId, CapPool>> poolsOfPlace = new HashMap<>(); // where it has a share
    private final PlacesByRevision places = new PlacesByRevision();
    private final TreeMap<Long, List<TenantId>> loweredAt =
            new TreeMap<>(); // by the revision that lowered their floors
    private final Set<TenantId> overcommitted = new LinkedHashSet<>(); // all that do not fit, and some that do by now
    private int placesMost;
    private double floorShare;
    private long levelEvery;
    private long revision;
    private boolean floorsFree; // under the caps in force; once they are, they stay so
    private long poolsVisited;

    /** @param caps always those of the revision in force; may change only right before {@link #caps(long, List)} */
    Lending(boolean floorsLent, Caps caps) {
        this.floorsLent = floorsLent;
        this.caps = caps;
    }

    /**
     * The number of places and the share of floors are set once, before a place acts on anything.
     *
     * @param floorShare the part of each cap that is spread over all places as floors
     * @param levelEvery how often what each may have is worked out anew while there is too little
     */
    void settings(int places, double floorShare, long levelEvery) {
        boolean floorsDiffer = places != placesMost || floorShare != this.floorShare;
        if (floorsDiffer && !pools.isEmpty()) {
            throw new IllegalStateException("the floors of pools that are in use cannot change by settings");
        }
        placesMost = places;
        this.floorShare = floorShare;
        this.levelEvery = levelEvery;
    }

    /** The floor of each place under a cap. */
    int floor(int cap) {
        return cap == UNCAPPED ? 0 : Gate.floor(cap, floorShare, placesMost);
    }

    // ---- revisions

    /** Another revision is in force, in which these caps differ; what is lent beyond them comes back as it is given back. */
    void caps(long newRevision, List<CapChange> changes) {
        revision = newRevision;
        floorsFree = false;
        changes.forEach(this::change);
    }

    private void change(CapChange change) {
        CapPool pool = pools.get(change.tenant());
        int newFloor = floor(change.after());
        if (pool == null) {
            if (newFloor >= floor(change.before())) {
                return; // nothing is lent and nobody has a higher floor
            }
            pool = pool(change.tenant(), change.before());
        }
        poolsVisited++;
        pool.change(change.after(), newFloor, revision);
        pool.forgetFloorsBefore(places.oldest());
        if (pool.hasEarlierFloors()) {
            loweredAt.computeIfAbsent(revision, r -> new ArrayList<>()).add(pool.tenant());
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
     * A place acts under another revision than before. Floors that rose it uses only once it was told that they are free,
     * which only the revision in force can tell; so a place that is new here has no floor by any earlier one.
     */
    void acting(int place, long newRevision) {
        if (!places.contains(place)) {
            places.put(place, revision);
        } else if (newRevision > places.revision(place)) {
            places.put(place, Math.min(newRevision, revision));
            forgetEarlierFloors();
        }
    }

    /** What floors were under revisions that nobody acts under any more. */
    private void forgetEarlierFloors() {
        long oldest = places.oldest();
        while (!loweredAt.isEmpty() && loweredAt.firstKey() <= oldest) {
            for (TenantId tenant : loweredAt.pollFirstEntry().getValue()) {
                CapPool pool = pools.get(tenant);
                if (pool != null) {
                    poolsVisited++;
                    pool.forgetFloorsBefore(oldest);
                    dropIfIdle(pool);
                }
            }
        }
    }

    /** Whether the floors of all places and what is lent fit into each cap, so that all floors may be used. */
    boolean floorsFree() {
        if (floorsFree) {
            return true;
        }
        // Who fits once does so until its cap changes: each is taken out at most once for each time it was put in.
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
        return pool.cap() == UNCAPPED || spoken(pool) <= pool.cap();
    }

    // ---- places

    /**
     * A place says what it needs: what it does not name it has given back. What it may have more is lent at once where
     * there is any.
     */
    Map<TenantId, Grant> report(int place, Map<TenantId, Need> needs, long now) {
        if (!places.contains(place)) {
            places.put(place, revision); // it may hear that floors are free
        }
        for (CapPool pool : List.copyOf(poolsOf(place))) {
            if (!needs.containsKey(pool.tenant())) {
                report(pool, place, NOTHING, now);
            }
        }
        needs.forEach((tenant, need) -> {
            CapPool known = pools.get(tenant);
            report(known != null ? known : pool(tenant, caps.of(tenant)), place, need, now);
        });
        return lent(place);
    }

    private void report(CapPool pool, int place, Need need, long now) {
        poolsVisited++;
        pool.report(place, need, lendable(pool), now, levelEvery);
        if (pool.concerns(place)) {
            poolsOfPlace.computeIfAbsent(place, p -> new HashMap<>()).put(pool.tenant(), pool);
        } else {
            removeShare(pool, place);
        }
    }

    private void removeShare(CapPool pool, int place) {
        pool.remove(place);
        Map<TenantId, CapPool> ofPlace = poolsOfPlace.get(place);
        if (ofPlace != null && ofPlace.remove(pool.tenant()) != null && ofPlace.isEmpty()) {
            poolsOfPlace.remove(place);
        }
        dropIfIdle(pool);
    }

    /** All that may be lent, lent or not. */
    private long lendable(CapPool pool) {
        return floorsLent ? pool.cap() : pool.cap() - floors(pool);
    }

    /** The floors of all places, and by how much those may be higher that they have by earlier revisions. */
    private long floors(CapPool pool) {
        return (long) pool.floor() * placesMost + pool.floorsOver(places);
    }

    private Collection<CapPool> poolsOf(int place) {
        return poolsOfPlace.getOrDefault(place, Map.of()).values();
    }

    /** What a place is lent, for an answer that changes nothing. */
    Map<TenantId, Grant> lent(int place) {
        Map<TenantId, Grant> told = new TreeMap<>(BY_NAME);
        for (CapPool pool : poolsOf(place)) {
            poolsVisited++;
            if (pool.concerns(place)) {
                told.put(pool.tenant(), pool.lent(place));
            }
        }
        return told;
    }

    /** Nothing that a place was lent can be in use there any more. */
    void back(int place) {
        for (CapPool pool : poolsOf(place)) {
            poolsVisited++;
            pool.back(place);
        }
    }

    /** A place is free: nobody relies on a floor there. */
    void free(int place) {
        for (CapPool pool : List.copyOf(poolsOf(place))) {
            poolsVisited++;
            removeShare(pool, place);
        }
        places.remove(place);
        forgetEarlierFloors();
    }

    /** Whether a place was lent anything that it has not given back. */
    boolean holds(int place) {
        for (CapPool pool : poolsOf(place)) {
            poolsVisited++;
            if (pool.lent(place).granted() > 0) {
                return true;
            }
        }
        return false;
    }

    // ---- what can be seen

    /** All that may be relied on of a tenant's cap, against that cap: floors of all places, and what is lent. */
    long spoken(TenantId tenant) {
        CapPool pool = pools.get(tenant);
        return pool == null ? (long) floor(caps.of(tenant)) * placesMost : spoken(pool);
    }

    private long spoken(CapPool pool) {
        return floors(pool) + pool.granted();
    }

    /** What is lent of a tenant's cap. */
    long granted(TenantId tenant) {
        CapPool pool = pools.get(tenant);
        return pool == null ? 0 : pool.granted();
    }

    /** By how much the floors that places may have by earlier revisions are above those of the revision in force. */
    long floorsOver(TenantId tenant) {
        CapPool pool = pools.get(tenant);
        return pool == null ? 0 : pool.floorsOver(places);
    }

    /** How many pools there are. */
    int pools() {
        return pools.size();
    }

    /** How many pools were looked at so far: what the inputs cost, for tests. */
    long poolsVisited() {
        return poolsVisited;
    }

    // ---- for snapshots

    /** What cannot be worked out from the caps, piece by piece, always in the same order. */
    void save(Consumer<LendingPart> to) {
        to.accept(new LendingPart.RevisionState(revision));
        places.forEach((place, under) -> to.accept(new LendingPart.PlaceState(place, under)));
        pools.values().stream()
                .sorted(Comparator.comparing(CapPool::tenant, BY_NAME))
                .forEach(pool -> to.accept(pool.save()));
    }

    /** Into one that is new but for its settings: a piece of what another saved. */
    void load(LendingPart part) {
        if (part instanceof LendingPart.RevisionState state) {
            revision = state.revision();
        } else if (part instanceof LendingPart.PlaceState state) {
            places.put(state.place(), state.revision());
        } else if (part instanceof LendingPart.PoolState state) {
            load(state);
        }
    }

    private void load(LendingPart.PoolState state) {
        CapPool pool = pool(state.tenant(), state.cap());
        pool.load(state);
        overcommitted.add(pool.tenant()); // for floorsFree to find out
        for (LendingPart.EarlierFloor earlier : state.earlierFloors()) {
            loweredAt.computeIfAbsent(earlier.until(), r -> new ArrayList<>()).add(pool.tenant());
        }
        for (LendingPart.ShareState share : state.shares()) {
            poolsOfPlace.computeIfAbsent(share.place(), p -> new HashMap<>()).put(pool.tenant(), pool);
        }
    }
}
