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
    private static final int CAP_MOST = 40;
    private static final int PLACES = 4;
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
        final SplittableRandom chance;
        final Gate gate;
        final PlainGate plain;
        final int[][] open = new int[TENANTS][CONNECTIONS];
        long now;

        Server(long seed, int linger) {
            chance = new SplittableRandom(seed);
            gate = new Gate(linger);
            plain = new PlainGate(linger);
            gate.floors(PLACES, FLOOR_SHARE);
            plain.floors(PLACES, FLOOR_SHARE);
        }

        void caps(boolean uncapped) {
            Map<TenantId, Integer> caps = new HashMap<>();
            for (int t = 0; t < TENANTS; t++) {
                if (!uncapped || chance.nextInt(3) > 0) {
                    caps.put(tenant(t), chance.nextInt(CAP_MOST));
                }
            }
            gate.caps(lookup(caps));
            plain.caps(caps);
        }

        void hear(boolean shares) {
            Map<TenantId, Grant> lent = new HashMap<>();
            for (int t = 0; t < TENANTS && shares; t++) {
                if (chance.nextBoolean()) {
                    int granted = chance.nextInt(6);
                    lent.put(tenant(t), new Grant(granted, chance.nextInt(6)));
                }
            }
            long leaseUntil = now + chance.nextInt(40);
            long floorUntil = now + chance.nextInt(80);
            boolean floorsFree = chance.nextBoolean();
            gate.lent(lent, leaseUntil, floorUntil, floorsFree);
            plain.lent(lent, leaseUntil, floorUntil, floorsFree);
        }

        void time() {
            now += chance.nextInt(10);
            gate.clock(now);
            plain.clock(now);
        }

        void query() {
            int t = chance.nextInt(TENANTS);
            int c = chance.nextInt(CONNECTIONS);
            boolean in = gate.enter(new ConnectionId(c), tenant(t));
            assertEquals(plain.enter(new ConnectionId(c), tenant(t)), in);
            open[t][c] += in ? 1 : 0;
        }

        void answer() {
            int t = chance.nextInt(TENANTS);
            int c = chance.nextInt(CONNECTIONS);
            if (open[t][c] > 0) {
                open[t][c]--;
                gate.over(new ConnectionId(c), tenant(t));
                plain.over(new ConnectionId(c), tenant(t));
            }
        }

        void close() {
            int c = chance.nextInt(CONNECTIONS);
            for (int t = 0; t < TENANTS; t++) {
                open[t][c] = 0;
            }
            gate.closed(new ConnectionId(c));
            plain.closed(new ConnectionId(c));
        }

        void shutOut() {
            gate.shutOut();
            plain.shutOut();
        }

        void compare() {
            for (int t = 0; t < TENANTS; t++) {
                assertEquals(plain.used(tenant(t)), gate.used(tenant(t)), "number of connections");
                assertEquals(plain.most(tenant(t)), gate.most(tenant(t)), "maximum number of connections");
            }
            assertEquals(plain.next(), gate.next());
        }
    }

    /** With tenants that have a cap in every revision, all observable results are equal at every step. */
    @Property(tries = 500, seed = "21")
    void doesWhatThePlainModelDoes(@ForAll long seed, @ForAll @IntRange(min = 0, max = 1) int lingers) {
        Server server = new Server(seed, lingers * 7);
        server.query(); // before any caps are known
        server.caps(false);
        for (int step = 0; step < STEPS; step++) {
            switch (server.chance.nextInt(20)) {
                case 0 -> server.caps(false);
                case 1, 2 -> server.hear(true);
                case 3, 4 -> assertEquals(server.plain.needs(), server.gate.needs());
                case 5 -> server.close();
                case 6 -> server.shutOut();
                case 7, 8, 9 -> server.time();
                case 10, 11, 12, 13 -> server.answer();
                default -> server.query();
            }
            server.compare();
            assertEquals(server.plain.pressed(), server.gate.pressed());
            for (int t = 0; t < TENANTS; t++) {
                assertEquals(server.plain.fleetFull(tenant(t)), server.gate.fleetFull(tenant(t)));
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
            switch (server.chance.nextInt(20)) {
                case 0, 1 -> server.caps(true);
                case 2, 3 -> server.hear(false);
                case 4, 5 -> {
                    server.plain.needs();
                    server.gate.needs();
                }
                case 6 -> server.close();
                case 7, 8, 9 -> server.time();
                case 10, 11, 12, 13 -> server.answer();
                default -> server.query();
            }
            server.compare();
        }
    }

    private static Gate withFloor(int cap) {
        Gate gate = new Gate(0);
        gate.floors(PLACES, FLOOR_SHARE);
        gate.caps(tenant -> cap);
        gate.lent(Map.of(), 100, 100, true);
        return gate;
    }

    @Test
    void whoHasNeverHeardOfCapsLetsNobodyIn() {
        Gate gate = new Gate(0);
        assertNull(gate.caps());
        assertFalse(gate.enter(new ConnectionId(1), tenant(1)));
        gate.caps(Caps.NONE);
        assertTrue(gate.enter(new ConnectionId(1), tenant(1)));
    }

    @Test
    void aFloorThatFellAndRoseIsTheLowerOneForATenantFirstSeenLater() {
        Gate gate = withFloor(40);
        assertEquals(5, gate.most(tenant(1)));
        gate.caps(tenant -> 16);
        gate.caps(tenant -> 40);
        assertEquals(2, gate.most(tenant(1)));
        gate.lent(Map.of(), 100, 100, true);
        assertEquals(5, gate.most(tenant(1)));
    }

    @Test
    void beyondTheCapsThatAreRememberedThereIsNoFloorUntilFloorsAreFree() {
        Gate gate = withFloor(40);
        assertTrue(gate.enter(new ConnectionId(1), tenant(1)));
        for (int i = 0; i < CAPS_REMEMBERED; i++) {
            assertEquals(5, gate.most(tenant(2)));
            gate.caps(lookup(Map.of(tenant(1), 40, tenant(2), 40)));
        }
        assertEquals(0, gate.most(tenant(2)));
        assertEquals(5, gate.most(tenant(1)), "a tenant in use keeps its floor");
        gate.lent(Map.of(), 100, 100, true);
        assertEquals(5, gate.most(tenant(2)));
    }

    @Test
    void tenantsThatAreNotInUseCostNothing() {
        Gate gate = withFloor(40);
        for (int i = 0; i < 3; i++) {
            gate.enter(new ConnectionId(i), tenant(i));
        }
        assertEquals(3, gate.tenantsInUse());
        int[] lookups = {0};
        gate.caps(tenant -> {
            lookups[0]++;
            return 40;
        });
        assertTrue(lookups[0] <= 2 * 3, lookups[0] + " lookups");
        for (int i = 0; i < 3; i++) {
            gate.over(new ConnectionId(i), tenant(i));
        }
        for (int i = 0; i <= REPORTS_UNTIL_IDLE; i++) {
            gate.needs();
        }
        assertEquals(0, gate.tenantsInUse());
    }

    @Test
    void whatWasLentIsKeptThoughNobodyIsConnected() {
        Gate gate = new Gate(0);
        gate.caps(Caps.NONE);
        gate.lent(Map.of(tenant(1), new Grant(3, 3)), 100, 100, false);
        gate.needs();
        gate.caps(tenant -> 40);
        assertEquals(3, gate.most(tenant(1)));
    }

    @Test
    void aTenantThatWasTurnedAwayIsReportedOnce() {
        Gate gate = withFloor(0);
        assertFalse(gate.enter(new ConnectionId(1), tenant(1)));
        assertTrue(gate.pressed());
        gate.needs();
        assertFalse(gate.pressed());
    }
}
