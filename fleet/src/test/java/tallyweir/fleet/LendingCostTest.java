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
    private static final int SLOTS = 100;
    private static final int CAP = 1_000;
    private static final int LOWER_CAP = 600;
    private static final int FEW_TENANTS = 5;
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
    void setUp() {
        lending.settings(SLOTS, 0.5, 10);
        lending.applyCaps(1, changeAll(CAP));
        assertEquals(0, lending.poolCount(), "a cap of which nothing is lent needs no pool");
        for (int slot = 0; slot < SLOTS; slot++) {
            lending.slotApplied(slot, 1);
        }
        lending.report(0, needs(0, TENANTS), 0);
        assertEquals(TENANTS, lending.poolCount());
    }

    @Test
    void slotOperationsVisitOnlyPoolsItHoldsOrNames() {
        assertTrue(visitedBy(() -> lending.report(1, needs(0, FEW_TENANTS), 1)) <= LOOKS_PER_POOL * FEW_TENANTS);
        assertTrue(visitedBy(() -> lending.report(1, needs(FEW_TENANTS, 2 * FEW_TENANTS), 2))
                <= LOOKS_PER_POOL * 2 * FEW_TENANTS);
        assertEquals(FEW_TENANTS, visitedBy(() -> lending.lent(1)));
        assertTrue(visitedBy(() -> lending.hasGrants(1)) <= FEW_TENANTS);
        assertEquals(FEW_TENANTS, visitedBy(() -> lending.reclaim(1)));
        assertEquals(FEW_TENANTS, visitedBy(() -> lending.releaseSlot(1)));
        assertEquals(0, visitedBy(() -> lending.report(2, Map.of(), 3)));
        assertEquals(0, visitedBy(() -> lending.hasGrants(2)));
    }

    @Test
    void capChangeVisitsOnlyChangedCaps() {
        lookups = 0;
        assertEquals(1, visitedBy(() -> lending.applyCaps(2, List.of(change(7, LOWER_CAP)))));
        assertEquals(0, lookups);
        assertTrue(lending.excessFloors(tenant(7)) > 0);
        assertTrue(visitedBy(() -> assertTrue(lending.floorsFree())) <= 1);
        assertEquals(0, visitedBy(lending::floorsFree), "floors that are free stay free");
    }

    @Test
    void applyingARevisionVisitsNoPoolsUntilTheLastSlotDoes() {
        lending.applyCaps(2, changeAll(LOWER_CAP));
        assertEquals(0, visitedBy(() -> {
            for (int slot = 1; slot < SLOTS; slot++) {
                lending.slotApplied(slot, 2);
            }
        }));
        assertTrue(lending.excessFloors(tenant(7)) > 0);
        assertEquals(TENANTS, visitedBy(() -> lending.slotApplied(0, 2)));
        assertEquals(0, lending.excessFloors(tenant(7)));
    }

    @Test
    void floorsFreeStopsAtFirstOvercommittedPool() {
        Map<TenantId, Need> highDemand = new HashMap<>();
        for (int i = 0; i < TENANTS; i++) {
            highDemand.put(tenant(i), new Need(1, CAP));
        }
        lending.report(0, highDemand, 20);
        lending.applyCaps(2, changeAll(LOWER_CAP));
        assertFalse(lending.floorsFree());
        assertEquals(1, visitedBy(lending::floorsFree));
    }

    @Test
    void poolsWithoutHoldersAreDropped() {
        lending.applyCaps(2, changeAll(LOWER_CAP));
        for (int slot = 0; slot < SLOTS; slot++) {
            lending.releaseSlot(slot);
        }
        assertEquals(0, lending.poolCount());
        List<LendingPart> saved = new ArrayList<>();
        lending.save(saved::add);
        assertEquals(List.of(new LendingPart.RevisionState(2)), saved);
        assertEquals((long) lending.floor(LOWER_CAP) * SLOTS, lending.committed(tenant(7)));
    }
}
