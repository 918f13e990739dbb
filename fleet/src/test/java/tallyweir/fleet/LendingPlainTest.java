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
 * Lending beside the plain model that walks all pools, over random sequences of what a fleet does. One place, the first,
 * wants some of each tenant all the time: lending forgets the turn and level of a tenant that nobody wants anything of,
 * which the plain model does not.
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

    /** Both, told the same, and what the servers of the fleet really rely on by the rules of {@link Gate}. */
    private static final class Fleet {
        final SplittableRandom chance;
        final PlainLending plain = new PlainLending(false);
        final List<Map<TenantId, Integer>> revisions = new ArrayList<>(List.of(Map.of()));
        final double floorShare;
        Lending lending;
        final boolean[] here = new boolean[PLACES];
        final int[] reported = new int[PLACES]; // the revision that a place has reported
        final int[] acting = new int[PLACES]; // and that it does act under
        final int[][] floors = new int[PLACES][TENANTS]; // that it may use
        final int[][] granted = new int[PLACES][TENANTS];
        final int[][] grantedByPlain = new int[PLACES][TENANTS];
        final boolean[] parted = new boolean[TENANTS]; // floors over differed at some time: shares may since then
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

        /** Another revision; the level is due everywhere, as the plain model works it out anew after each. */
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

        /** A place acts under a revision, and does not say so yet. */
        void move(int place, int revision) {
            acting[place] = revision;
            for (int t = 0; t < TENANTS; t++) {
                floors[place][t] = Math.min(floors[place][t], lending.floor(cap(revision, t)));
            }
        }

        void say(int place) {
            here[place] = true;
            reported[place] = acting[place];
            lending.acting(place, reported[place]);
            plain.acting(place, revisions.get(reported[place]));
        }

        void enter(int place) {
            move(place, lastRevision());
            say(place);
        }

        void report(int place, boolean namesAll) {
            Map<TenantId, Need> needs = new HashMap<>();
            Map<TenantId, Need> needsOfPlain = new HashMap<>();
            for (int t = 0; t < TENANTS; t++) {
                if (namesAll || place == 0 || chance.nextInt(3) > 0) {
                    int want = chance.nextInt(namesAll || place == 0 ? 1 : 0, WANT_MOST);
                    int returned = chance.nextInt(4) == 0 ? chance.nextInt(5) : 0;
                    needs.put(tenant(t), new Need(granted[place][t] - returned, want));
                    needsOfPlain.put(tenant(t), new Need(grantedByPlain[place][t] - returned, want));
                }
            }
            now += chance.nextInt(5);
            Map<TenantId, Grant> grants = lending.report(place, needs, now);
            Map<TenantId, Grant> grantsOfPlain = plain.report(place, needsOfPlain, now);
            for (int t = 0; t < TENANTS; t++) {
                if (!parted[t]) {
                    assertEquals(grantsOfPlain.get(tenant(t)), grants.get(tenant(t)));
                }
                granted[place][t] = grantOf(grants, t);
                grantedByPlain[place][t] = grantOf(grantsOfPlain, t);
            }
            assertEquals(grants, lending.lent(place));
        }

        private static int grantOf(Map<TenantId, Grant> grants, int t) {
            Grant grant = grants.get(tenant(t));
            return grant == null ? 0 : grant.granted();
        }

        /** A place is told whether floors are free, perhaps ahead of what it has reported. */
        void hearOfFloors(int place) {
            if (here[place] && lending.floorsFree() && acting[place] == lastRevision()) {
                for (int t = 0; t < TENANTS; t++) {
                    floors[place][t] = lending.floor(cap(lastRevision(), t));
                }
            }
        }

        void back(int place) {
            lending.back(place);
            plain.back(place);
            Arrays.fill(granted[place], 0);
            Arrays.fill(grantedByPlain[place], 0);
        }

        void free(int place) {
            lending.free(place);
            plain.free(place);
            here[place] = false;
            Arrays.fill(granted[place], 0);
            Arrays.fill(grantedByPlain[place], 0);
            Arrays.fill(floors[place], 0);
        }

        /** Goes on as one that was loaded from a snapshot. */
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
            for (int place = 0; place < PLACES; place++) {
                all += floors[place][t] + granted[place][t];
            }
            return all;
        }

        void compare() {
            for (int t = 0; t < TENANTS; t++) {
                long over = lending.floorsOver(tenant(t));
                assertTrue(over >= floorsOverOfPlain(t), "floors over are fewer than in the plain model");
                parted[t] |= over != floorsOverOfPlain(t);
                if (!parted[t]) {
                    assertEquals(plain.granted(tenant(t)), lending.granted(tenant(t)));
                    assertEquals(plain.spoken(tenant(t)), lending.spoken(tenant(t)));
                }
            }
            for (int place = 0; place < PLACES; place++) {
                assertEquals(Arrays.stream(granted[place]).sum() > 0, lending.holds(place));
            }
        }

        /** Once all places act under the revision in force no earlier floor is kept, and of an empty fleet nothing. */
        void end() {
            allAct(this);
            lending.save(part -> {
                if (part instanceof LendingPart.PoolState pool) {
                    assertEquals(List.of(), pool.earlierFloors());
                }
            });
            for (int place = 0; place < PLACES; place++) {
                free(place);
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

    /** Where no floor is involved both lend the same at every step, whoever names what. */
    @Property(tries = 300, seed = "11")
    void lendsWhatThePlainModelLends(@ForAll long seed) {
        Fleet fleet = new Fleet(seed, 0);
        fleet.begin();
        for (int step = 0; step < STEPS; step++) {
            int place = fleet.chance.nextInt(PLACES);
            switch (fleet.chance.nextInt(12)) {
                case 0 -> fleet.publish(fleet.anyCaps(true));
                case 1 -> fleet.back(Math.max(1, place));
                case 2 -> fleet.free(Math.max(1, place));
                case 3 -> fleet.reload();
                default -> {
                    if (!fleet.here[place]) {
                        fleet.enter(place);
                    }
                    fleet.report(place, false);
                }
            }
            fleet.compare();
            assertEquals(fleet.plain.floorsFree(), fleet.lending.floorsFree());
        }
        fleet.end();
    }

    /**
     * Floors that fall while places still act under earlier revisions are counted as in the plain model, and the same is
     * lent at every step; floors rise only when all places act under the revision in force, and all do so again before
     * the next one.
     */
    @Property(tries = 300, seed = "12")
    void countsFloorsThatFellAsThePlainModelDoes(@ForAll long seed, @ForAll @IntRange(min = 1, max = 4) int quarters) {
        Fleet fleet = new Fleet(seed, quarters * 0.25);
        fleet.begin();
        for (int step = 0; step < STEPS; step++) {
            int place = fleet.chance.nextInt(PLACES);
            switch (fleet.chance.nextInt(14)) {
                case 0 -> fleet.publish(fleet.lowerCaps());
                case 1 -> {
                    allAct(fleet);
                    fleet.publish(fleet.anyCaps(true));
                    allAct(fleet);
                }
                case 2 -> fleet.back(Math.max(1, place));
                case 3 -> fleet.free(Math.max(1, place));
                case 4 -> fleet.reload();
                case 5, 6, 7 -> actLater(fleet, place);
                default -> reportIfHere(fleet, place);
            }
            fleet.compare();
            assertTrue(!fleet.hasParted(), "floors over differ");
            assertEquals(fleet.plain.floorsFree(), fleet.lending.floorsFree());
        }
        fleet.end();
    }

    /**
     * Whatever caps do, more is counted for earlier floors than in the plain model or the same, and as long as it is the
     * same, the same is lent. It is more where a floor rose and fell again while a place still reported an earlier
     * revision: that place may be ahead of its report and have heard that the higher floor was free, which the plain
     * model overlooks. What servers rely on grows beyond no cap, and floors that are free stay so.
     */
    @Property(tries = 500, seed = "13")
    void neverCountsFewerFloorsThanPlacesMayUse(@ForAll long seed, @ForAll @IntRange(min = 1, max = 4) int quarters) {
        Fleet fleet = new Fleet(seed, quarters * 0.25);
        fleet.begin();
        for (int step = 0; step < STEPS; step++) {
            int place = fleet.chance.nextInt(PLACES);
            long[] reliedBefore = new long[TENANTS];
            long[] spokenBefore = new long[TENANTS];
            for (int t = 0; t < TENANTS; t++) {
                reliedBefore[t] = fleet.relied(t);
                spokenBefore[t] = fleet.lending.spoken(tenant(t));
            }
            boolean freeBefore = fleet.lending.floorsFree();
            int choice = fleet.chance.nextInt(16);
            switch (choice) {
                case 0, 1 -> fleet.publish(fleet.anyCaps(true));
                case 2 -> fleet.back(Math.max(1, place));
                case 3 -> fleet.free(Math.max(1, place));
                case 4 -> fleet.reload();
                case 5, 6 -> actLater(fleet, place);
                case 7, 8 -> moveLater(fleet, place);
                case 9, 10 -> fleet.hearOfFloors(place);
                default -> reportIfHere(fleet, place);
            }
            fleet.compare();
            assertTrue(choice <= 1 || !freeBefore || fleet.lending.floorsFree(), "floors were free, and are not");
            for (int t = 0; t < TENANTS; t++) {
                int cap = fleet.cap(fleet.lastRevision(), t);
                if (cap != Caps.UNCAPPED && choice > 1) {
                    assertTrue(fleet.relied(t) <= Math.max(reliedBefore[t], cap), "more is relied on than the cap");
                    long spoken = fleet.lending.spoken(tenant(t));
                    assertTrue(spoken <= Math.max(spokenBefore[t], cap), "more is spoken for than the cap");
                    assertTrue(fleet.relied(t) <= spoken, "more is relied on than is known of");
                }
            }
        }
        fleet.end();
    }

    /**
     * A place has reported that it acts under revision 1, acts under 2 by now, and its report is answered with the word
     * that floors are free: the higher floor may be in use there though nobody has heard of it.
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
        for (int place = 0; place < PLACES; place++) {
            if (fleet.here[place]) {
                fleet.enter(place);
            }
        }
    }

    /** A place that is here acts under some later revision, and says so; one that is not comes in. */
    private static void actLater(Fleet fleet, int place) {
        moveLater(fleet, place);
        fleet.say(place);
    }

    private static void moveLater(Fleet fleet, int place) {
        if (!fleet.here[place]) {
            fleet.enter(place);
        } else if (fleet.acting[place] < fleet.lastRevision()) {
            fleet.move(place, fleet.chance.nextInt(fleet.acting[place] + 1, fleet.lastRevision() + 1));
        }
    }

    private static void reportIfHere(Fleet fleet, int place) {
        if (fleet.here[place]) {
            fleet.report(place, true);
        }
    }
}
