package tallyweir.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import tallyweir.ids.TenantId;

/**
 * Compares lending with the plain model that walks all pools, over random sequences of operations. Slot 0 wants something of
 * each tenant all the time, because lending drops the turn and level of a tenant that nobody wants anything of, and the
 * plain model does not.
 */
class LendingPlainTest {
    private static final int TENANTS = 4;
    private static final int SLOTS = 5;
    private static final int STEPS = 200;
    private static final int LEVEL_INTERVAL = 10;
    private static final int CAP_LIMIT = 60;
    private static final int WANT_LIMIT = 20;

    private static TenantId tenant(int i) {
        return new TenantId("t" + i);
    }

    /** Both implementations, given the same inputs, and what the servers really rely on by the rules of {@link Gate}. */
    private static final class Fleet {
        final SplittableRandom random;
        final PlainLending plain = new PlainLending(false);
        final List<Map<TenantId, Integer>> revisions = new ArrayList<>(List.of(Map.of()));
        final double floorShare;
        Lending lending;
        final boolean[] present = new boolean[SLOTS];
        final int[] reported = new int[SLOTS]; // the revision that a slot has reported
        final int[] applied = new int[SLOTS]; // the revision that it really applies
        final int[][] floors = new int[SLOTS][TENANTS]; // that the slot may use
        final int[][] granted = new int[SLOTS][TENANTS];
        final int[][] grantedByPlain = new int[SLOTS][TENANTS];
        final boolean[] diverged = new boolean[TENANTS]; // excess floors differed once, so shares may differ since
        long now;

        Fleet(long seed, double floorShare) {
            random = new SplittableRandom(seed);
            this.floorShare = floorShare;
            plain.settings(SLOTS, floorShare, LEVEL_INTERVAL);
            lending = newLending();
        }

        Lending newLending() {
            Lending fresh = new Lending(false, t -> last().getOrDefault(t, Caps.UNCAPPED));
            fresh.settings(SLOTS, floorShare, LEVEL_INTERVAL);
            return fresh;
        }

        int lastRevision() {
            return revisions.size() - 1;
        }

        Map<TenantId, Integer> last() {
            return revisions.get(lastRevision());
        }

        int cap(int revision, int t) {
            return revisions.get(revision).getOrDefault(tenant(t), Caps.UNCAPPED);
        }

        /** Publishes a revision, and advances the time so that the level is due everywhere: the plain model recomputes it then. */
        void publish(Map<TenantId, Integer> caps) {
            List<CapChange> changes = new ArrayList<>();
            for (int t = 0; t < TENANTS; t++) {
                int before = cap(lastRevision(), t);
                int after = caps.getOrDefault(tenant(t), Caps.UNCAPPED);
                if (before != after) {
                    changes.add(new CapChange(tenant(t), before, after));
                }
            }
            revisions.add(caps);
            lending.applyCaps(lastRevision(), changes);
            plain.applyCaps(caps);
            now += LEVEL_INTERVAL;
        }

        /** A slot applies a revision and does not report it yet. */
        void apply(int slot, int revision) {
            applied[slot] = revision;
            for (int t = 0; t < TENANTS; t++) {
                floors[slot][t] = Math.min(floors[slot][t], lending.floor(cap(revision, t)));
            }
        }

        void reportApplied(int slot) {
            present[slot] = true;
            reported[slot] = applied[slot];
            lending.slotApplied(slot, reported[slot]);
            plain.slotApplied(slot, revisions.get(reported[slot]));
        }

        void enter(int slot) {
            apply(slot, lastRevision());
            reportApplied(slot);
        }

        void report(int slot, boolean namesAll) {
            Map<TenantId, Need> needs = new HashMap<>();
            Map<TenantId, Need> needsOfPlain = new HashMap<>();
            for (int t = 0; t < TENANTS; t++) {
                if (namesAll || slot == 0 || random.nextInt(3) > 0) {
                    int want = random.nextInt(namesAll || slot == 0 ? 1 : 0, WANT_LIMIT);
                    int returned = random.nextInt(4) == 0 ? random.nextInt(5) : 0;
                    needs.put(tenant(t), new Need(granted[slot][t] - returned, want));
                    needsOfPlain.put(tenant(t), new Need(grantedByPlain[slot][t] - returned, want));
                }
            }
            now += random.nextInt(5);
            Map<TenantId, Grant> grants = lending.report(slot, needs, now);
            Map<TenantId, Grant> grantsOfPlain = plain.report(slot, needsOfPlain, now);
            for (int t = 0; t < TENANTS; t++) {
                if (!diverged[t]) {
                    assertEquals(grantsOfPlain.get(tenant(t)), grants.get(tenant(t)));
                }
                granted[slot][t] = grantOf(grants, t);
                grantedByPlain[slot][t] = grantOf(grantsOfPlain, t);
            }
            assertEquals(grants, lending.lent(slot));
        }

        private static int grantOf(Map<TenantId, Grant> grants, int t) {
            Grant grant = grants.get(tenant(t));
            return grant == null ? 0 : grant.granted();
        }

        /** A slot is told whether floors are free; the revision it applies may be newer than the one it has reported. */
        void learnFloorsFree(int slot) {
            if (present[slot] && lending.floorsFree() && applied[slot] == lastRevision()) {
                for (int t = 0; t < TENANTS; t++) {
                    floors[slot][t] = lending.floor(cap(lastRevision(), t));
                }
            }
        }

        void reclaim(int slot) {
            lending.reclaim(slot);
            plain.reclaim(slot);
            Arrays.fill(granted[slot], 0);
            Arrays.fill(grantedByPlain[slot], 0);
        }

        void releaseSlot(int slot) {
            lending.releaseSlot(slot);
            plain.releaseSlot(slot);
            present[slot] = false;
            Arrays.fill(granted[slot], 0);
            Arrays.fill(grantedByPlain[slot], 0);
            Arrays.fill(floors[slot], 0);
        }

        /** Replaces lending by an instance loaded from its snapshot. */
        void reload() {
            Lending loaded = newLending();
            lending.save(loaded::load);
            lending = loaded;
        }

        long excessFloorsOfPlain(int t) {
            long floorsNow = (long) lending.floor(cap(lastRevision(), t)) * SLOTS;
            return plain.committed(tenant(t)) - plain.granted(tenant(t)) - floorsNow;
        }

        long relied(int t) {
            long all = 0;
            for (int slot = 0; slot < SLOTS; slot++) {
                all += floors[slot][t] + granted[slot][t];
            }
            return all;
        }

        void compare() {
            for (int t = 0; t < TENANTS; t++) {
                long over = lending.excessFloors(tenant(t));
                assertTrue(over >= excessFloorsOfPlain(t), "excess floors are lower than in the plain model");
                diverged[t] |= over != excessFloorsOfPlain(t);
                if (!diverged[t]) {
                    assertEquals(plain.granted(tenant(t)), lending.granted(tenant(t)));
                    assertEquals(plain.committed(tenant(t)), lending.committed(tenant(t)));
                }
            }
            for (int slot = 0; slot < SLOTS; slot++) {
                assertEquals(Arrays.stream(granted[slot]).sum() > 0, lending.hasGrants(slot));
            }
        }

        /** Once all slots apply the revision in force no earlier floor is kept, and for an empty fleet nothing. */
        void end() {
            allApplyLatest(this);
            lending.save(part -> {
                if (part instanceof LendingPart.PoolState pool) {
                    assertEquals(List.of(), pool.earlierFloors());
                }
            });
            for (int slot = 0; slot < SLOTS; slot++) {
                releaseSlot(slot);
            }
            assertEquals(0, lending.poolCount());
        }

        boolean hasDiverged() {
            for (boolean each : diverged) {
                if (each) {
                    return true;
                }
            }
            return false;
        }

        Map<TenantId, Integer> anyCaps(boolean uncapped) {
            Map<TenantId, Integer> caps = new HashMap<>(last());
            for (int t = 0; t < TENANTS; t++) {
                int choice = random.nextInt(4);
                if (choice == 0 && uncapped) {
                    caps.remove(tenant(t));
                } else if (choice > 1) {
                    caps.put(tenant(t), random.nextInt(CAP_LIMIT));
                }
            }
            return caps;
        }

        Map<TenantId, Integer> lowerCaps() {
            Map<TenantId, Integer> caps = new HashMap<>(last());
            caps.replaceAll((t, cap) -> random.nextInt(cap + 1));
            return caps;
        }

        void begin() {
            Map<TenantId, Integer> caps = new HashMap<>();
            for (int t = 0; t < TENANTS; t++) {
                caps.put(tenant(t), random.nextInt(CAP_LIMIT));
            }
            publish(caps);
            enter(0);
            report(0, true);
        }
    }

    /** Without floors both lend the same at every step, whichever tenants a report names. */
    @Property(tries = 300, seed = "11")
    void lendsWhatThePlainModelLends(@ForAll long seed) {
        Fleet fleet = new Fleet(seed, 0);
        fleet.begin();
        for (int step = 0; step < STEPS; step++) {
            int slot = fleet.random.nextInt(SLOTS);
            switch (fleet.random.nextInt(12)) {
                case 0 -> fleet.publish(fleet.anyCaps(true));
                case 1 -> fleet.reclaim(Math.max(1, slot));
                case 2 -> fleet.releaseSlot(Math.max(1, slot));
                case 3 -> fleet.reload();
                default -> {
                    if (!fleet.present[slot]) {
                        fleet.enter(slot);
                    }
                    fleet.report(slot, false);
                }
            }
            fleet.compare();
            assertEquals(fleet.plain.floorsFree(), fleet.lending.floorsFree());
        }
        fleet.end();
    }

    /**
     * Floors that fall while slots still apply earlier revisions are counted as in the plain model, and the same is lent at
     * every step. Here floors rise only when all slots apply the revision in force, and all apply the new one before the
     * next is published.
     */
    @Property(tries = 300, seed = "12")
    void countsLoweredFloorsLikePlainModel(@ForAll long seed, @ForAll @IntRange(min = 1, max = 4) int quarters) {
        Fleet fleet = new Fleet(seed, quarters * 0.25);
        fleet.begin();
        for (int step = 0; step < STEPS; step++) {
            int slot = fleet.random.nextInt(SLOTS);
            switch (fleet.random.nextInt(14)) {
                case 0 -> fleet.publish(fleet.lowerCaps());
                case 1 -> {
                    allApplyLatest(fleet);
                    fleet.publish(fleet.anyCaps(true));
                    allApplyLatest(fleet);
                }
                case 2 -> fleet.reclaim(Math.max(1, slot));
                case 3 -> fleet.releaseSlot(Math.max(1, slot));
                case 4 -> fleet.reload();
                case 5, 6, 7 -> applyLaterAndReport(fleet, slot);
                default -> reportIfPresent(fleet, slot);
            }
            fleet.compare();
            assertTrue(!fleet.hasDiverged(), "excess floors differ");
            assertEquals(fleet.plain.floorsFree(), fleet.lending.floorsFree());
        }
        fleet.end();
    }

    /**
     * However caps change, lending counts at least as much for earlier floors as the plain model, and while both count the
     * same they lend the same. Lending counts more where a floor rose and fell again while a slot still reported an earlier
     * revision: that slot may be ahead of its report and may have heard that the higher floor was free, which the plain
     * model overlooks. What servers rely on never grows beyond the cap, and floors that are free stay free.
     */
    @Property(tries = 500, seed = "13")
    void neverCountsFewerFloorsThanSlotsMayUse(@ForAll long seed, @ForAll @IntRange(min = 1, max = 4) int quarters) {
        Fleet fleet = new Fleet(seed, quarters * 0.25);
        fleet.begin();
        for (int step = 0; step < STEPS; step++) {
            int slot = fleet.random.nextInt(SLOTS);
            long[] reliedBefore = new long[TENANTS];
            long[] committedBefore = new long[TENANTS];
            for (int t = 0; t < TENANTS; t++) {
                reliedBefore[t] = fleet.relied(t);
                committedBefore[t] = fleet.lending.committed(tenant(t));
            }
            boolean freeBefore = fleet.lending.floorsFree();
            int choice = fleet.random.nextInt(16);
            switch (choice) {
                case 0, 1 -> fleet.publish(fleet.anyCaps(true));
                case 2 -> fleet.reclaim(Math.max(1, slot));
                case 3 -> fleet.releaseSlot(Math.max(1, slot));
                case 4 -> fleet.reload();
                case 5, 6 -> applyLaterAndReport(fleet, slot);
                case 7, 8 -> applyLater(fleet, slot);
                case 9, 10 -> fleet.learnFloorsFree(slot);
                default -> reportIfPresent(fleet, slot);
            }
            fleet.compare();
            assertTrue(
                    choice <= 1 || !freeBefore || fleet.lending.floorsFree(), "floors were free and are not any more");
            for (int t = 0; t < TENANTS; t++) {
                int cap = fleet.cap(fleet.lastRevision(), t);
                if (cap != Caps.UNCAPPED && choice > 1) {
                    assertTrue(fleet.relied(t) <= Math.max(reliedBefore[t], cap), "servers rely on more than the cap");
                    long committed = fleet.lending.committed(tenant(t));
                    assertTrue(committed <= Math.max(committedBefore[t], cap), "more than the cap is committed");
                    assertTrue(fleet.relied(t) <= committed, "servers rely on more than is committed");
                }
            }
        }
        fleet.end();
    }

    /**
     * A slot has reported revision 1 and applies 2 by now, and the answer to its report says that floors are free: it may
     * use the higher floor although it has not reported that it applies revision 2.
     */
    @Test
    void slotMayBeAheadOfItsReport() {
        Fleet fleet = new Fleet(1, 0.5);
        fleet.publish(Map.of(tenant(0), 20));
        fleet.enter(0);
        fleet.publish(Map.of(tenant(0), 60));
        fleet.apply(0, 2);
        fleet.learnFloorsFree(0);
        assertEquals(6, fleet.floors[0][0]);
        fleet.publish(Map.of(tenant(0), 20));
        assertEquals(4, fleet.lending.excessFloors(tenant(0)));
        assertEquals(0, fleet.excessFloorsOfPlain(0));
    }

    private static void allApplyLatest(Fleet fleet) {
        for (int slot = 0; slot < SLOTS; slot++) {
            if (fleet.present[slot]) {
                fleet.enter(slot);
            }
        }
    }

    /** A present slot applies a later revision and reports it; an absent one enters. */
    private static void applyLaterAndReport(Fleet fleet, int slot) {
        applyLater(fleet, slot);
        fleet.reportApplied(slot);
    }

    private static void applyLater(Fleet fleet, int slot) {
        if (!fleet.present[slot]) {
            fleet.enter(slot);
        } else if (fleet.applied[slot] < fleet.lastRevision()) {
            fleet.apply(slot, fleet.random.nextInt(fleet.applied[slot] + 1, fleet.lastRevision() + 1));
        }
    }

    private static void reportIfPresent(Fleet fleet, int slot) {
        if (fleet.present[slot]) {
            fleet.report(slot, true);
        }
    }
}
