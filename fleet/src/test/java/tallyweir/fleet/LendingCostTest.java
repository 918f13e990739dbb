package tallyweir.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import tallyweir.ids.TenantId;

/** The cost of lending's operations, counted as pools visited and caps looked up; guards against walking all pools. */
class LendingCostTest {
    private static final int TENANTS = 10_000;
    private static final int PLACES = 100;
    private static final int CAP = 1_000;
    private static final int LOWER_CAP = 600;
    private static final int FEW = 5;
    private static final int LOOKS_PER_POOL = 3; // for the report, for the answer, and for what was returned

    private final Map<TenantId, Integer> caps = new HashMap<>();
    private long lookups;
    private final Lending lending = new Lending(false, this::cap);

    private int cap(TenantId tenant) {
        lookups++;
        return caps.getOrDefault(tenant, Caps.UNCAPPED);
    }

    private static TenantId tenant(int i) {
        return new TenantId("t" + i);
    }

    private static Map<TenantId, Need> needs(int from, int until) {
        Map<TenantId, Need> needs = new HashMap<>();
        for (int i = from; i < until; i++) {
            needs.put(tenant(i), new Need(1, 1));
        }
        return needs;
    }

    private CapChange change(int tenant, int cap) {
        Integer before = caps.put(tenant(tenant), cap);
        return new CapChange(tenant(tenant), before == null ? Caps.UNCAPPED : before, cap);
    }

    private List<CapChange> changeAll(int cap) {
        List<CapChange> changes = new ArrayList<>();
        for (int i = 0; i < TENANTS; i++) {
            changes.add(change(i, cap));
        }
        return changes;
    }

    private long visitedBy(Runnable input) {
        long before = lending.poolsVisited();
        input.run();
        return lending.poolsVisited() - before;
    }

    /** All tenants have a cap; slot 0 holds one connection of each, the other slots nothing. */
    @BeforeEach
    void begin() {
        lending.settings(PLACES, 0.5, 10);
        lending.caps(1, changeAll(CAP));
        assertEquals(0, lending.pools(), "a cap of which nothing is lent needs no pool");
        for (int slot = 0; slot < PLACES; slot++) {
            lending.acting(slot, 1);
        }
        lending.report(0, needs(0, TENANTS), 0);
        assertEquals(TENANTS, lending.pools());
    }

    @Test
    void whatConcernsAPlaceCostsWhatItHoldsAndNames() {
        assertTrue(visitedBy(() -> lending.report(1, needs(0, FEW), 1)) <= LOOKS_PER_POOL * FEW);
        assertTrue(visitedBy(() -> lending.report(1, needs(FEW, 2 * FEW), 2)) <= LOOKS_PER_POOL * 2 * FEW);
        assertEquals(FEW, visitedBy(() -> lending.lent(1)));
        assertTrue(visitedBy(() -> lending.holds(1)) <= FEW);
        assertEquals(FEW, visitedBy(() -> lending.back(1)));
        assertEquals(FEW, visitedBy(() -> lending.free(1)));
        assertEquals(0, visitedBy(() -> lending.report(2, Map.of(), 3)));
        assertEquals(0, visitedBy(() -> lending.holds(2)));
    }

    @Test
    void aChangeCostsTheCapsThatDiffer() {
        lookups = 0;
        assertEquals(1, visitedBy(() -> lending.caps(2, List.of(change(7, LOWER_CAP)))));
        assertEquals(0, lookups);
        assertTrue(lending.floorsOver(tenant(7)) > 0);
        assertTrue(visitedBy(() -> assertTrue(lending.floorsFree())) <= 1);
        assertEquals(0, visitedBy(lending::floorsFree), "floors that are free stay free");
    }

    @Test
    void aPlaceThatMovesOnCostsNoPoolsUntilTheLastHas() {
        lending.caps(2, changeAll(LOWER_CAP));
        assertEquals(0, visitedBy(() -> {
            for (int slot = 1; slot < PLACES; slot++) {
                lending.acting(slot, 2);
            }
        }));
        assertTrue(lending.floorsOver(tenant(7)) > 0);
        assertEquals(TENANTS, visitedBy(() -> lending.acting(0, 2)));
        assertEquals(0, lending.floorsOver(tenant(7)));
    }

    @Test
    void floorsThatAreNotFreeCostOnePoolToSee() {
        Map<TenantId, Need> highDemand = new HashMap<>();
        for (int i = 0; i < TENANTS; i++) {
            highDemand.put(tenant(i), new Need(1, CAP));
        }
        lending.report(0, highDemand, 20);
        lending.caps(2, changeAll(LOWER_CAP));
        assertFalse(lending.floorsFree());
        assertEquals(1, visitedBy(lending::floorsFree));
    }

    @Test
    void nothingIsKeptOfWhatNobodyHolds() {
        lending.caps(2, changeAll(LOWER_CAP));
        for (int slot = 0; slot < PLACES; slot++) {
            lending.free(slot);
        }
        assertEquals(0, lending.pools());
        List<LendingPart> saved = new ArrayList<>();
        lending.save(saved::add);
        assertEquals(List.of(new LendingPart.RevisionState(2)), saved);
        assertEquals((long) lending.floor(LOWER_CAP) * PLACES, lending.spoken(tenant(7)));
    }
}
