package tallyweir.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import tallyweir.ids.TenantId;

/**
 * A plain model of {@link Lending} that walks all pools for each input; {@link Lending} replaced it.
 *
 * <p>Divides the caps on tenants' connections: each slot of the fleet has a floor that is never lent, and the rest of the
 * cap is lent in shares. The floors that servers may rely on plus all that is lent never exceed the cap, except while a
 * lowered cap comes into force: then nothing more is lent until the sum fits again.
 */
final class PlainLending {
    static final int UNCAPPED = -1;

    /** What one slot holds of one tenant's cap beyond its floor. */
    static final class Share {
        int granted;
        int wanted;
        boolean extra; // gets one more than the level where the cap does not divide
        int excessFloor; // by how much its floor may still exceed that of the revision in force
    }

    private static final class Pool {
        int cap = UNCAPPED;
        int floor;
        long granted; // of all slots
        long wanted;
        long excessFloors;
        int level = Integer.MAX_VALUE;
        long levelAt = Long.MIN_VALUE;
        int turn;
        final TreeMap<Integer, Share> shares = new TreeMap<>(); // by slot
    }

    private final boolean floorsLent; // floors are lent too: only where a check has switched the guard off
    private int slots;
    private double floorShare;
    private boolean floorsFree; // under the caps in force; once true, stays true until the next revision
    private long levelInterval;
    private final Map<TenantId, Pool> pools = new HashMap<>();
    private final Map<Integer, Map<TenantId, Integer>> capsBySlot =
            new HashMap<>(); // the caps that a slot may still apply

    PlainLending(boolean floorsLent) {
        this.floorsLent = floorsLent;
    }

    /**
     * @param floorShare the fraction of each cap that is spread over all slots as floors
     * @param levelInterval minimum interval between computations of the max-min level while demand exceeds the cap
     */
    void settings(int slotCount, double floorShare, long levelInterval) {
        this.slots = slotCount;
        this.floorShare = floorShare;
        this.levelInterval = levelInterval;
    }

    /** Restores the caps that a slot applies, after the rest was loaded. */
    void restored(int slot, Map<TenantId, Integer> caps) {
        capsBySlot.put(slot, caps);
    }

    /** The floor of each slot under a cap. */
    int floor(int cap) {
        return cap == UNCAPPED ? 0 : Gate.floor(cap, floorShare, slots);
    }

    /** Applies other caps. Grants beyond a lowered cap are returned as servers report. */
    void applyCaps(Map<TenantId, Integer> caps) {
        floorsFree = false;
        restored(caps);
        pools.values().forEach(pool -> pool.levelAt = Long.MIN_VALUE);
        capsBySlot.keySet().forEach(this::updateExcessFloors);
    }

    /** Restores the caps in force, after the rest was loaded. */
    void restored(Map<TenantId, Integer> caps) {
        caps.keySet().forEach(tenant -> pools.computeIfAbsent(tenant, absent -> new Pool()));
        pools.forEach((tenant, pool) -> {
            pool.cap = caps.getOrDefault(tenant, UNCAPPED);
            pool.floor = floor(pool.cap);
        });
    }

    /** A slot applies other caps than before; it uses raised floors only once they are free. */
    void slotApplied(int slot, Map<TenantId, Integer> caps) {
        capsBySlot.put(slot, caps);
        pools.forEach((tenant, pool) -> {
            Share share = pool.shares.get(slot);
            if (share != null) {
                setExcessFloor(
                        pool,
                        share,
                        Math.min(
                                share.excessFloor,
                                Math.max(0, floor(caps.getOrDefault(tenant, UNCAPPED)) - pool.floor)));
            }
        });
    }

    /** Whether the floors of all slots plus what is lent fit into each cap, so that all floors may be used. */
    boolean floorsFree() {
        if (!floorsFree) {
            floorsFree = pools.values().stream()
                    .allMatch(pool -> pool.cap == UNCAPPED
                            || (long) pool.floor * slots + pool.excessFloors + pool.granted <= pool.cap);
        }
        return floorsFree;
    }

    private void updateExcessFloors(int slot) {
        Map<TenantId, Integer> applied = capsBySlot.get(slot);
        pools.forEach((tenant, pool) -> {
            int over = Math.max(0, floor(applied.getOrDefault(tenant, UNCAPPED)) - pool.floor);
            Share share = pool.shares.get(slot);
            if (share == null && over > 0) {
                share = share(pool, slot);
            }
            if (share != null) {
                setExcessFloor(pool, share, over);
            }
        });
    }

    private static void setExcessFloor(Pool pool, Share share, int over) {
        pool.excessFloors += over - share.excessFloor;
        share.excessFloor = over;
    }

    private static Share share(Pool pool, int slot) {
        return pool.shares.computeIfAbsent(slot, absent -> new Share());
    }

    /**
     * Takes a slot's report of its needs. It has returned whatever it does not name. Anything more that it may have is lent
     * at once as far as there is any left.
     */
    Map<TenantId, Grant> report(int slot, Map<TenantId, Need> needs, long now) {
        Map<TenantId, Grant> grants = new TreeMap<>((a, b) -> a.value().compareTo(b.value()));
        pools.forEach((tenant, pool) -> {
            Need need = needs.get(tenant);
            Share share = pool.shares.get(slot);
            if (need == null && share == null) {
                return;
            }
            if (share == null) {
                share = share(pool, slot);
            }
            lend(pool, share, need == null ? new Need(0, 0) : need, now);
            if (share.granted > 0 || share.wanted > 0) {
                grants.put(tenant, new Grant(share.granted, target(pool, share)));
            } else if (share.excessFloor == 0) {
                pool.shares.remove(slot);
            }
        });
        return grants;
    }

    /** What a slot is lent, without changing anything. */
    Map<TenantId, Grant> lent(int slot) {
        Map<TenantId, Grant> grants = new TreeMap<>((a, b) -> a.value().compareTo(b.value()));
        pools.forEach((tenant, pool) -> {
            Share share = pool.shares.get(slot);
            if (share != null && (share.granted > 0 || share.wanted > 0)) {
                grants.put(tenant, new Grant(share.granted, target(pool, share)));
            }
        });
        return grants;
    }

    private void lend(Pool pool, Share share, Need need, long now) {
        int kept = Math.min(share.granted, Math.max(0, need.kept()));
        pool.granted += kept - share.granted;
        share.granted = kept;
        pool.wanted += need.wanted() - share.wanted;
        share.wanted = need.wanted();
        if (pool.cap == UNCAPPED) {
            return;
        }
        if (pool.wanted <= lendable(pool)) {
            pool.level = Integer.MAX_VALUE;
            pool.levelAt = Long.MIN_VALUE;
        } else if (pool.levelAt == Long.MIN_VALUE || now - pool.levelAt >= levelInterval) {
            level(pool, now);
        }
        long more = Math.min(target(pool, share) - share.granted, lendable(pool) - pool.granted);
        if (more > 0) {
            share.granted += (int) more;
            pool.granted += more;
        }
    }

    /** The total that may be lent, including what is lent already. */
    private long lendable(Pool pool) {
        return floorsLent ? pool.cap : pool.cap - (long) pool.floor * slots - pool.excessFloors;
    }

    private static int target(Pool pool, Share share) {
        if (pool.cap == UNCAPPED) {
            return share.granted;
        }
        return pool.level == Integer.MAX_VALUE
                ? share.wanted
                : Math.min(share.wanted, pool.level + (share.extra ? 1 : 0));
    }

    /**
     * Computes the max-min level: the share up to which every demand is met. Units that do not divide evenly go to some of
     * the slots that want more, to others each time, so that each gets a turn even under a cap smaller than their number.
     */
    private void level(Pool pool, long now) {
        List<Share> wanting = new ArrayList<>();
        pool.shares.values().forEach(share -> {
            share.extra = false;
            if (share.wanted > 0) {
                wanting.add(share);
            }
        });
        List<Share> byWant = new ArrayList<>(wanting);
        byWant.sort((a, b) -> Integer.compare(a.wanted, b.wanted));
        long left = Math.max(0, lendable(pool));
        int level = 0;
        for (int i = 0; i < byWant.size(); i++) {
            long each = left / (byWant.size() - i);
            if (byWant.get(i).wanted > each) {
                level = (int) each;
                left -= each * (byWant.size() - i);
                break;
            }
            left -= byWant.get(i).wanted;
        }
        pool.level = level;
        pool.levelAt = now;
        int wantingCount = wanting.size();
        for (int i = 0; i < wantingCount && left > 0; i++) {
            Share share = wanting.get((pool.turn + i) % wantingCount);
            if (share.wanted > level) {
                share.extra = true;
                left--;
            }
        }
        pool.turn = wantingCount == 0 ? 0 : (pool.turn + 1) % wantingCount;
    }

    /** Takes back everything that a slot was lent: none of it can be in use there any more. */
    void reclaim(int slot) {
        pools.values().forEach(pool -> {
            Share share = pool.shares.get(slot);
            if (share != null) {
                pool.granted -= share.granted;
                pool.wanted -= share.wanted;
                share.granted = 0;
                share.wanted = 0;
            }
        });
    }

    /** Frees a slot: no server relies on its floors or grants any more. */
    void releaseSlot(int slot) {
        reclaim(slot);
        capsBySlot.remove(slot);
        pools.values().forEach(pool -> {
            Share share = pool.shares.remove(slot);
            if (share != null) {
                pool.excessFloors -= share.excessFloor;
            }
        });
    }

    boolean hasGrants(int slot) {
        return pools.values().stream()
                .anyMatch(pool -> pool.shares.containsKey(slot) && pool.shares.get(slot).granted > 0);
    }

    /** How much of a tenant's cap may be relied on: the floors of all slots plus what is lent. */
    long committed(TenantId tenant) {
        Pool pool = pools.get(tenant);
        return pool == null ? 0 : (long) pool.floor * slots + pool.excessFloors + pool.granted;
    }

    long granted(TenantId tenant) {
        Pool pool = pools.get(tenant);
        return pool == null ? 0 : pool.granted;
    }

    // ---- for snapshots: state that cannot be derived from the caps

    List<Object> save() {
        List<Object> all = new ArrayList<>();
        new TreeMap<>(pools.keySet().stream().collect(Collectors.toMap(TenantId::value, tenant -> tenant)))
                .forEach((name, tenant) -> {
                    Pool pool = pools.get(tenant);
                    List<Object> shares = new ArrayList<>();
                    pool.shares.forEach((slot, share) ->
                            shares.add(List.of(slot, share.granted, share.wanted, share.extra, share.excessFloor)));
                    all.add(List.of(name, pool.level, pool.levelAt, pool.turn, shares));
                });
        return all;
    }

    void load(List<?> all) {
        for (Object each : all) {
            List<?> pooled = (List<?>) each;
            Pool pool = pools.computeIfAbsent(new TenantId((String) pooled.get(0)), tenant -> new Pool());
            pool.level = number(pooled.get(1)).intValue();
            pool.levelAt = number(pooled.get(2)).longValue();
            pool.turn = number(pooled.get(3)).intValue();
            for (Object eachShare : (List<?>) pooled.get(4)) {
                List<?> saved = (List<?>) eachShare;
                Share share = share(pool, number(saved.get(0)).intValue());
                share.granted = number(saved.get(1)).intValue();
                share.wanted = number(saved.get(2)).intValue();
                share.extra = (Boolean) saved.get(3);
                setExcessFloor(pool, share, number(saved.get(4)).intValue());
                pool.granted += share.granted;
                pool.wanted += share.wanted;
            }
        }
    }

    static Number number(Object value) {
        return (Number) value;
    }
}
