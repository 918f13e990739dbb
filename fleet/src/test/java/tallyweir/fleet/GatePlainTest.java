package tallyweir.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import tallyweir.ids.ConnectionId;
import tallyweir.ids.TenantId;

/**
 * Compares the gate with the plain model, which keeps state for every tenant with a cap, and checks what its inputs
 * cost.
 */
class GatePlainTest {
    private static final int TENANTS = 4;
    private static final int CONNECTIONS = 8;
    private static final int STEPS = 300;
    private static final int MAX_CAP = 40;
    private static final int SLOTS = 4;
    private static final double FLOOR_SHARE = 0.5;
    private static final int REPORTS_UNTIL_IDLE = 8;
    private static final int CAPS_REMEMBERED = 32; // since the floors were last free

    private static TenantId tenant(int i) {
        return new TenantId("t" + i);
    }

    private static Caps lookup(Map<TenantId, Integer> caps) {
        return tenant -> caps.getOrDefault(tenant, Caps.UNCAPPED);
    }

    /** The gate and the model with equal inputs. */
    private static final class Server {
        final SplittableRandom random;
        final Gate gate;
        final PlainGate model;
        final int[][] openQueries = new int[TENANTS][CONNECTIONS];
        long now;

        Server(long seed, int linger) {
            random = new SplittableRandom(seed);
            gate = new Gate(linger);
            model = new PlainGate(linger);
            gate.configureFloors(SLOTS, FLOOR_SHARE);
            model.configureFloors(SLOTS, FLOOR_SHARE);
        }

        void caps(boolean uncapped) {
            Map<TenantId, Integer> caps = new HashMap<>();
            for (int t = 0; t < TENANTS; t++) {
                if (!uncapped || random.nextInt(3) > 0) {
                    caps.put(tenant(t), random.nextInt(MAX_CAP));
                }
            }
            gate.caps(lookup(caps));
            model.caps(caps);
        }

        void updateGrants(boolean shares) {
            Map<TenantId, Grant> lent = new HashMap<>();
            for (int t = 0; t < TENANTS && shares; t++) {
                if (random.nextBoolean()) {
                    int granted = random.nextInt(6);
                    lent.put(tenant(t), new Grant(granted, random.nextInt(6)));
                }
            }
            long leaseUntil = now + random.nextInt(40);
            long floorUntil = now + random.nextInt(80);
            boolean floorsFree = random.nextBoolean();
            gate.updateGrants(lent, leaseUntil, floorUntil, floorsFree);
            model.updateGrants(lent, leaseUntil, floorUntil, floorsFree);
        }

        void advanceClock() {
            now += random.nextInt(10);
            gate.advanceClock(now);
            model.advanceClock(now);
        }

        void query() {
            int t = random.nextInt(TENANTS);
            int c = random.nextInt(CONNECTIONS);
            boolean in = gate.admit(new ConnectionId(c), tenant(t));
            assertEquals(model.admit(new ConnectionId(c), tenant(t)), in);
            openQueries[t][c] += in ? 1 : 0;
        }

        void answer() {
            int t = random.nextInt(TENANTS);
            int c = random.nextInt(CONNECTIONS);
            if (openQueries[t][c] > 0) {
                openQueries[t][c]--;
                gate.onQueryEnd(new ConnectionId(c), tenant(t));
                model.onQueryEnd(new ConnectionId(c), tenant(t));
            }
        }

        void close() {
            int c = random.nextInt(CONNECTIONS);
            for (int t = 0; t < TENANTS; t++) {
                openQueries[t][c] = 0;
            }
            gate.onConnectionClosed(new ConnectionId(c));
            model.onConnectionClosed(new ConnectionId(c));
        }

        void shutOut() {
            gate.shutOut();
            model.shutOut();
        }

        void compare() {
            for (int t = 0; t < TENANTS; t++) {
                assertEquals(
                        model.usedConnections(tenant(t)), gate.usedConnections(tenant(t)), "number of connections");
                assertEquals(
                        model.maxConnections(tenant(t)),
                        gate.maxConnections(tenant(t)),
                        "maximum number of connections");
            }
            assertEquals(model.nextReleaseAt(), gate.nextReleaseAt());
        }
    }

    /** With tenants that have a cap in every revision, all observable results are equal at every step. */
    @Property(tries = 500, seed = "21")
    void behavesLikeThePlainModel(@ForAll long seed, @ForAll @IntRange(min = 0, max = 1) int lingers) {
        Server server = new Server(seed, lingers * 7);
        server.query(); // before any caps are known
        server.caps(false);
        for (int step = 0; step < STEPS; step++) {
            switch (server.random.nextInt(20)) {
                case 0 -> server.caps(false);
                case 1, 2 -> server.updateGrants(true);
                case 3, 4 -> assertEquals(server.model.needs(), server.gate.needs());
                case 5 -> server.close();
                case 6 -> server.shutOut();
                case 7, 8, 9 -> server.advanceClock();
                case 10, 11, 12, 13 -> server.answer();
                default -> server.query();
            }
            server.compare();
            assertEquals(server.model.hasRejected(), server.gate.hasRejected());
            for (int t = 0; t < TENANTS; t++) {
                assertEquals(server.model.isFleetFull(tenant(t)), server.gate.isFleetFull(tenant(t)));
            }
        }
    }

    /**
     * With tenants that have a cap in some revisions only, and nothing lent, the same queries are admitted at every step. The
     * wanted numbers are not compared, because the plain model keeps the peak of connections from the time without a cap.
     */
    @Property(tries = 500, seed = "22")
    void hasTheFloorsOfThePlainModel(@ForAll long seed, @ForAll @IntRange(min = 0, max = 1) int lingers) {
        Server server = new Server(seed, lingers * 7);
        server.caps(true);
        for (int step = 0; step < STEPS; step++) {
            switch (server.random.nextInt(20)) {
                case 0, 1 -> server.caps(true);
                case 2, 3 -> server.updateGrants(false);
                case 4, 5 -> {
                    server.model.needs();
                    server.gate.needs();
                }
                case 6 -> server.close();
                case 7, 8, 9 -> server.advanceClock();
                case 10, 11, 12, 13 -> server.answer();
                default -> server.query();
            }
            server.compare();
        }
    }

    private static Gate withFloor(int cap) {
        Gate gate = new Gate(0);
        gate.configureFloors(SLOTS, FLOOR_SHARE);
        gate.caps(tenant -> cap);
        gate.updateGrants(Map.of(), 100, 100, true);
        return gate;
    }

    @Test
    void rejectsAllQueriesWhileNoCapsAreKnown() {
        Gate gate = new Gate(0);
        assertNull(gate.caps());
        assertFalse(gate.admit(new ConnectionId(1), tenant(1)));
        gate.caps(Caps.NONE);
        assertTrue(gate.admit(new ConnectionId(1), tenant(1)));
    }

    @Test
    void aFloorThatFellAndRoseIsTheLowerOneForATenantFirstSeenLater() {
        Gate gate = withFloor(40);
        assertEquals(5, gate.maxConnections(tenant(1)));
        gate.caps(tenant -> 16);
        gate.caps(tenant -> 40);
        assertEquals(2, gate.maxConnections(tenant(1)));
        gate.updateGrants(Map.of(), 100, 100, true);
        assertEquals(5, gate.maxConnections(tenant(1)));
    }

    @Test
    void withTooManyCapsThereIsNoFloorUntilFloorsAreFree() {
        Gate gate = withFloor(40);
        assertTrue(gate.admit(new ConnectionId(1), tenant(1)));
        for (int i = 0; i < CAPS_REMEMBERED; i++) {
            assertEquals(5, gate.maxConnections(tenant(2)));
            gate.caps(lookup(Map.of(tenant(1), 40, tenant(2), 40)));
        }
        assertEquals(0, gate.maxConnections(tenant(2)));
        assertEquals(5, gate.maxConnections(tenant(1)), "a tenant in use keeps its floor");
        gate.updateGrants(Map.of(), 100, 100, true);
        assertEquals(5, gate.maxConnections(tenant(2)));
    }

    @Test
    void tenantsThatAreNotInUseCostNothing() {
        Gate gate = withFloor(40);
        for (int i = 0; i < 3; i++) {
            gate.admit(new ConnectionId(i), tenant(i));
        }
        assertEquals(3, gate.tenantsInUse());
        int[] lookups = {0};
        gate.caps(tenant -> {
            lookups[0]++;
            return 40;
        });
        assertTrue(lookups[0] <= 2 * 3, lookups[0] + " lookups");
        for (int i = 0; i < 3; i++) {
            gate.onQueryEnd(new ConnectionId(i), tenant(i));
        }
        for (int i = 0; i <= REPORTS_UNTIL_IDLE; i++) {
            gate.needs();
        }
        assertEquals(0, gate.tenantsInUse());
    }

    @Test
    void grantsAreKeptWithoutConnections() {
        Gate gate = new Gate(0);
        gate.caps(Caps.NONE);
        gate.updateGrants(Map.of(tenant(1), new Grant(3, 3)), 100, 100, false);
        gate.needs();
        gate.caps(tenant -> 40);
        assertEquals(3, gate.maxConnections(tenant(1)));
    }

    @Test
    void aRejectedTenantIsReportedOnce() {
        Gate gate = withFloor(0);
        assertFalse(gate.admit(new ConnectionId(1), tenant(1)));
        assertTrue(gate.hasRejected());
        gate.needs();
        assertFalse(gate.hasRejected());
    }
}
