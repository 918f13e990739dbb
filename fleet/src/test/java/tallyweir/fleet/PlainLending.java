package tallyweir.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import tallyweir.ids.TenantId;

/**
 * The caps on tenants' connections: a floor for each place of the fleet, never lent, and the rest lent in shares. At any
 * moment the floors that any server may rely on and all that is lent make up no more than the cap, but while a cap that
 * was lowered comes into force: then nothing more is lent until they do.
 */
final class PlainLending {
    static final int UNCAPPED = -1;

    /** What one place holds of one tenant, beyond its floor. */
    static final class Share {
        int granted;
        int want;
        boolean extra; // gets one more than the level where the cap does not divide
        int floorOver; // by so much its floor may still be above that of the revision in force
    }

    private static final class Pool {
        int cap = UNCAPPED;
        int floor;
        long granted; // of all places
        long wanted;
        long floorsOver;
        int level = Integer.MAX_VALUE;
        long levelAt = Long.MIN_VALUE;
        int turn;
        final TreeMap<Integer, Share> shares = new TreeMap<>(); // by place
    }

    private final boolean floorsLent; // only where a check has switched the guard off
    private int places;
    private double floorShare;
    private boolean floorsFree; // under the caps in force; once they are, they stay so
    private long levelEvery;
    private final Map<TenantId, Pool> pools = new HashMap<>();
    private final Map<Integer, Map<TenantId, Integer>> actingUnder =
            new HashMap<>(); // the caps that a place may be under

    PlainLending(boolean floorsLent) {
        this.floorsLent = floorsLent;
    }

    /**
     * @param floorShare the part of each cap that is spread over all places as floors
     * @param levelEvery how often what each may have is worked out anew while there is too little
     */
    void settings(int places, double floorShare, long levelEvery) {
        this.places = places;
        this.floorShare = floorShare;
        this.levelEvery = levelEvery;
    }

    /** A place acts under the same caps as before, after the rest was loaded. */
    void restored(int place, Map<TenantId, Integer> caps) {
        actingUnder.put(place, caps);
    }

    /** The floor of each place under a cap. */
    int floor(int cap) {
        return cap == UNCAPPED ? 0 : Gate.floor(cap, floorShare, places);
    }

    /** Other caps are in force; what is lent beyond them comes back as it is given back. */
    void caps(Map<TenantId, Integer> caps) {
        floorsFree = false;
        restored(caps);
        pools.values().forEach(p -> p.levelAt = Long.MIN_VALUE);
        actingUnder.keySet().forEach(this::floorsOver);
    }

    /** The same caps as before, after the rest was loaded. */
    void restored(Map<TenantId, Integer> caps) {
        caps.keySet().forEach(t -> pools.computeIfAbsent(t, x -> new Pool()));
        pools.forEach((t, p) -> {
            p.cap = caps.getOrDefault(t, UNCAPPED);
            p.floor = floor(p.cap);
        });
    }

    /** A place acts under other caps than before; floors that rose it uses only once they are free. */
    void acting(int place, Map<TenantId, Integer> caps) {
        actingUnder.put(place, caps);
        pools.forEach((t, p) -> {
            Share s = p.shares.get(place);
            if (s != null) {
                over(p, s, Math.min(s.floorOver, Math.max(0, floor(caps.getOrDefault(t, UNCAPPED)) - p.floor)));
            }
        });
    }

    /** Whether the floors of all places and what is lent fit into each cap, so that all floors may be used. */
    boolean floorsFree() {
        if (!floorsFree) {
            floorsFree = pools.values().stream()
                    .allMatch(p -> p.cap == UNCAPPED || (long) p.floor * places + p.floorsOver + p.granted <= p.cap);
        }
        return floorsFree;
    }

    private void floorsOver(int place) {
        Map<TenantId, Integer> under = actingUnder.get(place);
        pools.forEach((t, p) -> {
            int over = Math.max(0, floor(under.getOrDefault(t, UNCAPPED)) - p.floor);
            Share s = p.shares.get(place);
            if (s == null && over > 0) {
                s = share(p, place);
            }
            if (s != null) {
                over(p, s, over);
            }
        });
    }

    private static void over(Pool p, Share s, int over) {
        p.floorsOver += over - s.floorOver;
        s.floorOver = over;
    }

    private static Share share(Pool p, int place) {
        return p.shares.computeIfAbsent(place, x -> new Share());
    }

    /**
     * A place says what it needs: what it does not name it has given back. What it may have more is lent at once where
     * there is any.
     */
    Map<TenantId, Grant> report(int place, Map<TenantId, Need> needs, long now) {
        Map<TenantId, Grant> told = new TreeMap<>((a, b) -> a.value().compareTo(b.value()));
        pools.forEach((t, p) -> {
            Need n = needs.get(t);
            Share s = p.shares.get(place);
            if (n == null && s == null) {
                return;
            }
            if (s == null) {
                s = share(p, place);
            }
            lend(p, s, n == null ? new Need(0, 0) : n, now);
            if (s.granted > 0 || s.want > 0) {
                told.put(t, new Grant(s.granted, target(p, s)));
            } else if (s.floorOver == 0) {
                p.shares.remove(place);
            }
        });
        return told;
    }

    /** What a place is lent, for an answer that changes nothing. */
    Map<TenantId, Grant> lent(int place) {
        Map<TenantId, Grant> told = new TreeMap<>((a, b) -> a.value().compareTo(b.value()));
        pools.forEach((t, p) -> {
            Share s = p.shares.get(place);
            if (s != null && (s.granted > 0 || s.want > 0)) {
                told.put(t, new Grant(s.granted, target(p, s)));
            }
        });
        return told;
    }

    private void lend(Pool p, Share s, Need n, long now) {
        int kept = Math.min(s.granted, Math.max(0, n.keep()));
        p.granted += kept - s.granted;
        s.granted = kept;
        p.wanted += n.want() - s.want;
        s.want = n.want();
        if (p.cap == UNCAPPED) {
            return;
        }
        if (p.wanted <= lendable(p)) {
            p.level = Integer.MAX_VALUE;
            p.levelAt = Long.MIN_VALUE;
        } else if (p.levelAt == Long.MIN_VALUE || now - p.levelAt >= levelEvery) {
            level(p, now);
        }
        long more = Math.min(target(p, s) - s.granted, lendable(p) - p.granted);
        if (more > 0) {
            s.granted += (int) more;
            p.granted += more;
        }
    }

    /** All that may be lent, lent or not. */
    private long lendable(Pool p) {
        return floorsLent ? p.cap : p.cap - (long) p.floor * places - p.floorsOver;
    }

    private static int target(Pool p, Share s) {
        if (p.cap == UNCAPPED) {
            return s.granted;
        }
        return p.level == Integer.MAX_VALUE ? s.want : Math.min(s.want, p.level + (s.extra ? 1 : 0));
    }

    /**
     * The level up to which everybody's wish is met (max-min). What does not divide goes to some of those who want more,
     * each time to others, so that under a cap smaller than their number each has its turn.
     */
    private void level(Pool p, long now) {
        List<Share> wanting = new ArrayList<>();
        p.shares.values().forEach(s -> {
            s.extra = false;
            if (s.want > 0) {
                wanting.add(s);
            }
        });
        List<Share> least = new ArrayList<>(wanting);
        least.sort((a, b) -> Integer.compare(a.want, b.want));
        long left = Math.max(0, lendable(p));
        int level = 0;
        for (int i = 0; i < least.size(); i++) {
            long each = left / (least.size() - i);
            if (least.get(i).want > each) {
                level = (int) each;
                left -= each * (least.size() - i);
                break;
            }
            left -= least.get(i).want;
        }
        p.level = level;
        p.levelAt = now;
        int of = wanting.size();
        for (int i = 0; i < of && left > 0; i++) {
            Share s = wanting.get((p.turn + i) % of);
            if (s.want > level) {
                s.extra = true;
                left--;
            }
        }
        p.turn = of == 0 ? 0 : (p.turn + 1) % of;
    }

    /** Nothing that a place was lent can be in use there any more. */
    void back(int place) {
        pools.values().forEach(p -> {
            Share s = p.shares.get(place);
            if (s != null) {
                p.granted -= s.granted;
                p.wanted -= s.want;
                s.granted = 0;
                s.want = 0;
            }
        });
    }

    /** A place is free: nobody relies on a floor there. */
    void free(int place) {
        back(place);
        actingUnder.remove(place);
        pools.values().forEach(p -> {
            Share s = p.shares.remove(place);
            if (s != null) {
                p.floorsOver -= s.floorOver;
            }
        });
    }

    boolean holds(int place) {
        return pools.values().stream().anyMatch(p -> p.shares.containsKey(place) && p.shares.get(place).granted > 0);
    }

    /** All that may be relied on of a tenant's cap, against that cap: floors of all places, and what is lent. */
    long spoken(TenantId tenant) {
        Pool p = pools.get(tenant);
        return p == null ? 0 : (long) p.floor * places + p.floorsOver + p.granted;
    }

    long granted(TenantId tenant) {
        Pool p = pools.get(tenant);
        return p == null ? 0 : p.granted;
    }

    // ---- for snapshots: what cannot be worked out from the rest

    List<Object> save() {
        List<Object> all = new ArrayList<>();
        new TreeMap<>(pools.keySet().stream().collect(Collectors.toMap(TenantId::value, t -> t))).forEach((name, t) -> {
            Pool p = pools.get(t);
            List<Object> shares = new ArrayList<>();
            p.shares.forEach((place, s) -> shares.add(List.of(place, s.granted, s.want, s.extra, s.floorOver)));
            all.add(List.of(name, p.level, p.levelAt, p.turn, shares));
        });
        return all;
    }

    void load(List<?> all) {
        for (Object each : all) {
            List<?> of = (List<?>) each;
            Pool p = pools.computeIfAbsent(new TenantId((String) of.get(0)), t -> new Pool());
            p.level = number(of.get(1)).intValue();
            p.levelAt = number(of.get(2)).longValue();
            p.turn = number(of.get(3)).intValue();
            for (Object share : (List<?>) of.get(4)) {
                List<?> from = (List<?>) share;
                Share s = share(p, number(from.get(0)).intValue());
                s.granted = number(from.get(1)).intValue();
                s.want = number(from.get(2)).intValue();
                s.extra = (Boolean) from.get(3);
                over(p, s, number(from.get(4)).intValue());
                p.granted += s.granted;
                p.wanted += s.want;
            }
        }
    }

    static Number number(Object of) {
        return (Number) of;
    }
}
