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
    private static final int PLACES = 5;
    private static final int STEPS = 200;
    private static final int LEVEL_EVERY = 10;
    private static final int CAP_MOST = 60;
    private static final int WANT_MOST = 20;

    private static TenantId tenant(int i) {
        return new TenantId("t" + i);
    }

    /** Both implementations, given the same inputs, and what the servers really rely on by the rules of {@link Gate}. */
    private static final class Fleet {
        final SplittableRandom chance;
        final PlainLending plain = new PlainLending(false);
        final List<Map<TenantId, Integer>> revisions = new ArrayList<>(List.of(Map.of()));
        final double floorShare;
        Lending lending;
        final boolean[] here = new boolean[PLACES];
        final int[] reported = new int[PLACES]; // the revision that a slot has reported
        final int[] acting = new int[PLACES]; // the revision that it really applies
        final int[][] floors = new int[PLACES][TENANTS]; // that the slot may use
        final int[][] granted = new int[PLACES][TENANTS];
        final int[][] grantedByPlain = new int[PLACES][TENANTS];
        final boolean[] parted = new boolean[TENANTS]; // excess floors differed once, so shares may differ since
        long now;

        Fleet(long seed, double floorShare) {
            chance = new SplittableRandom(seed);
            this.floorShare = floorShare;
            plain.settings(PLACES, floorShare, LEVEL_EVERY);
            lending = fresh();
        }

        Lending fresh() {
            Lending fresh = new Lending(false, t -> last().getOrDefault(t, Caps.UNCAPPED));
            fresh.settings(PLACES, floorShare, LEVEL_EVERY);
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
            lending.caps(lastRevision(), changes);
            plain.caps(caps);
            now += LEVEL_EVERY;
        }

        /** A slot applies a revision and does not report it yet. */
        void move(int slot, int revision) {
            acting[slot] = revision;
            for (int t = 0; t < TENANTS; t++) {
                floors[slot][t] = Math.min(floors[slot][t], lending.floor(cap(revision, t)));
            }
        }

        void say(int slot) {
            here[slot] = true;
            reported[slot] = acting[slot];
            lending.acting(slot, reported[slot]);
            plain.acting(slot, revisions.get(reported[slot]));
        }

        void enter(int slot) {
            move(slot, lastRevision());
            say(slot);
        }

        void report(int slot, boolean namesAll) {
            Map<TenantId, Need> needs = new HashMap<>();
            Map<TenantId, Need> needsOfPlain = new HashMap<>();
            for (int t = 0; t < TENANTS; t++) {
                if (namesAll || slot == 0 || chance.nextInt(3) > 0) {
                    int want = chance.nextInt(namesAll || slot == 0 ? 1 : 0, WANT_MOST);
                    int returned = chance.nextInt(4) == 0 ? chance.nextInt(5) : 0;
                    needs.put(tenant(t), new Need(granted[slot][t] - returned, want));
                    needsOfPlain.put(tenant(t), new Need(grantedByPlain[slot][t] - returned, want));
                }
            }
            now += chance.nextInt(5);
            Map<TenantId, Grant> grants = lending.report(slot, needs, now);
            Map<TenantId, Grant> grantsOfPlain = plain.report(slot, needsOfPlain, now);
            for (int t = 0; t < TENANTS; t++) {
                if (!parted[t]) {
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
        void hearOfFloors(int slot) {
            if (here[slot] && lending.floorsFree() && acting[slot] == lastRevision()) {
                for (int t = 0; t < TENANTS; t++) {
                    floors[slot][t] = lending.floor(cap(lastRevision(), t));
                }
            }
        }

        void back(int slot) {
            lending.back(slot);
            plain.back(slot);
            Arrays.fill(granted[slot], 0);
            Arrays.fill(grantedByPlain[slot], 0);
        }

        void free(int slot) {
            lending.free(slot);
            plain.free(slot);
            here[slot] = false;
            Arrays.fill(granted[slot], 0);
            Arrays.fill(grantedByPlain[slot], 0);
            Arrays.fill(floors[slot], 0);
        }

        /** Replaces lending by an instance loaded from its snapshot. */
        void reload() {
            Lending loaded = fresh();
            lending.save(loaded::load);
            lending = loaded;
        }

        long floorsOverOfPlain(int t) {
            long floorsNow = (long) lending.floor(cap(lastRevision(), t)) * PLACES;
            return plain.spoken(tenant(t)) - plain.granted(tenant(t)) - floorsNow;
        }

        long relied(int t) {
            long all = 0;
            for (int slot = 0; slot < PLACES; slot++) {
                all += floors[slot][t] + granted[slot][t];
            }
            return all;
        }

        void compare() {
            for (int t = 0; t < TENANTS; t++) {
                long over = lending.floorsOver(tenant(t));
                assertTrue(over >= floorsOverOfPlain(t), "excess floors are lower than in the plain model");
                parted[t] |= over != floorsOverOfPlain(t);
                if (!parted[t]) {
                    assertEquals(plain.granted(tenant(t)), lending.granted(tenant(t)));
                    assertEquals(plain.spoken(tenant(t)), lending.spoken(tenant(t)));
                }
            }
            for (int slot = 0; slot < PLACES; slot++) {
                assertEquals(Arrays.stream(granted[slot]).sum() > 0, lending.holds(slot));
            }
        }

        /** Once all slots apply the revision in force no earlier floor is kept, and for an empty fleet nothing. */
        void end() {
            allAct(this);
            lending.save(part -> {
                if (part instanceof LendingPart.PoolState pool) {
                    assertEquals(List.of(), pool.earlierFloors());
                }
            });
            for (int slot = 0; slot < PLACES; slot++) {
                free(slot);
            }
            assertEquals(0, lending.pools());
        }

        boolean hasParted() {
            for (boolean each : parted) {
                if (each) {
                    return true;
                }
            }
            return false;
        }

        Map<TenantId, Integer> anyCaps(boolean uncapped) {
            Map<TenantId, Integer> caps = new HashMap<>(last());
            for (int t = 0; t < TENANTS; t++) {
                int choice = chance.nextInt(4);
                if (choice == 0 && uncapped) {
                    caps.remove(tenant(t));
                } else if (choice > 1) {
                    caps.put(tenant(t), chance.nextInt(CAP_MOST));
                }
            }
            return caps;
        }

        Map<TenantId, Integer> lowerCaps() {
            Map<TenantId, Integer> caps = new HashMap<>(last());
            caps.replaceAll((t, cap) -> chance.nextInt(cap + 1));
            return caps;
        }

        void begin() {
            Map<TenantId, Integer> caps = new HashMap<>();
            for (int t = 0; t < TENANTS; t++) {
                caps.put(tenant(t), chance.nextInt(CAP_MOST));
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
            int slot = fleet.chance.nextInt(PLACES);
            switch (fleet.chance.nextInt(12)) {
                case 0 -> fleet.publish(fleet.anyCaps(true));
                case 1 -> fleet.back(Math.max(1, slot));
                case 2 -> fleet.free(Math.max(1, slot));
                case 3 -> fleet.reload();
                default -> {
                    if (!fleet.here[slot]) {
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
    void countsFloorsThatFellAsThePlainModelDoes(@ForAll long seed, @ForAll @IntRange(min = 1, max = 4) int quarters) {
        Fleet fleet = new Fleet(seed, quarters * 0.25);
        fleet.begin();
        for (int step = 0; step < STEPS; step++) {
            int slot = fleet.chance.nextInt(PLACES);
            switch (fleet.chance.nextInt(14)) {
                case 0 -> fleet.publish(fleet.lowerCaps());
                case 1 -> {
                    allAct(fleet);
                    fleet.publish(fleet.anyCaps(true));
                    allAct(fleet);
                }
                case 2 -> fleet.back(Math.max(1, slot));
                case 3 -> fleet.free(Math.max(1, slot));
                case 4 -> fleet.reload();
                case 5, 6, 7 -> actLater(fleet, slot);
                default -> reportIfHere(fleet, slot);
            }
            fleet.compare();
            assertTrue(!fleet.hasParted(), "excess floors differ");
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
    void neverCountsFewerFloorsThanPlacesMayUse(@ForAll long seed, @ForAll @IntRange(min = 1, max = 4) int quarters) {
        Fleet fleet = new Fleet(seed, quarters * 0.25);
        fleet.begin();
        for (int step = 0; step < STEPS; step++) {
            int slot = fleet.chance.nextInt(PLACES);
            long[] reliedBefore = new long[TENANTS];
            long[] committedBefore = new long[TENANTS];
            for (int t = 0; t < TENANTS; t++) {
                reliedBefore[t] = fleet.relied(t);
                committedBefore[t] = fleet.lending.spoken(tenant(t));
            }
            boolean freeBefore = fleet.lending.floorsFree();
            int choice = fleet.chance.nextInt(16);
            switch (choice) {
                case 0, 1 -> fleet.publish(fleet.anyCaps(true));
                case 2 -> fleet.back(Math.max(1, slot));
                case 3 -> fleet.free(Math.max(1, slot));
                case 4 -> fleet.reload();
                case 5, 6 -> actLater(fleet, slot);
                case 7, 8 -> moveLater(fleet, slot);
                case 9, 10 -> fleet.hearOfFloors(slot);
                default -> reportIfHere(fleet, slot);
            }
            fleet.compare();
            assertTrue(
                    choice <= 1 || !freeBefore || fleet.lending.floorsFree(), "floors were free and are not any more");
            for (int t = 0; t < TENANTS; t++) {
                int cap = fleet.cap(fleet.lastRevision(), t);
                if (cap != Caps.UNCAPPED && choice > 1) {
                    assertTrue(fleet.relied(t) <= Math.max(reliedBefore[t], cap), "servers rely on more than the cap");
                    long committed = fleet.lending.spoken(tenant(t));
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
    void aPlaceMayBeAheadOfItsReport() {
        Fleet fleet = new Fleet(1, 0.5);
        fleet.publish(Map.of(tenant(0), 20));
        fleet.enter(0);
        fleet.publish(Map.of(tenant(0), 60));
        fleet.move(0, 2);
        fleet.hearOfFloors(0);
        assertEquals(6, fleet.floors[0][0]);
        fleet.publish(Map.of(tenant(0), 20));
        assertEquals(4, fleet.lending.floorsOver(tenant(0)));
        assertEquals(0, fleet.floorsOverOfPlain(0));
    }

    private static void allAct(Fleet fleet) {
        for (int slot = 0; slot < PLACES; slot++) {
            if (fleet.here[slot]) {
                fleet.enter(slot);
            }
        }
    }

    /** A present slot applies a later revision and reports it; an absent one enters. */
    private static void actLater(Fleet fleet, int slot) {
        moveLater(fleet, slot);
        fleet.say(slot);
    }

    private static void moveLater(Fleet fleet, int slot) {
        if (!fleet.here[slot]) {
            fleet.enter(slot);
        } else if (fleet.acting[slot] < fleet.lastRevision()) {
            fleet.move(slot, fleet.chance.nextInt(fleet.acting[slot] + 1, fleet.lastRevision() + 1));
        }
    }

    private static void reportIfHere(Fleet fleet, int slot) {
        if (fleet.here[slot]) {
            fleet.report(slot, true);
        }
    }
}
