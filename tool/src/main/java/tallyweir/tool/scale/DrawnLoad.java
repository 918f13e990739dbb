package tallyweir.tool.scale;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import tallyweir.fleet.Gate;
import tallyweir.ids.ConnectionId;
import tallyweir.ids.TenantId;

/** Connections of some tenants at one server, half of them of tenants that many servers have, which open and close by chance. */
final class DrawnLoad {
    /** Tenants that half of all connections are of. */
    static final int HOT_TENANTS = 100;

    private static final int MOST_CONNECTIONS = 4;

    private record Held(ConnectionId connection, TenantId tenant) {}

    private final Gate gate;
    private final SplittableRandom random;
    private final List<TenantId> active = new ArrayList<>();
    private final List<Held> held = new ArrayList<>();
    private int connections;

    /**
     * Draws the tenants.
     *
     * @param tenants of the fleet
     * @param count of this server
     */
    DrawnLoad(Gate gate, SplittableRandom random, int tenants, int count) {
        this.gate = gate;
        this.random = random;
        for (int i = 0; i < count; i++) {
            int of = i % 2 == 0 ? Math.min(HOT_TENANTS, tenants) : tenants;
            active.add(RevisionEntries.tenant(random.nextInt(of)));
        }
    }

    /** One connection asks to come in, or one that is there goes. */
    void step() {
        boolean full = held.size() >= active.size() * MOST_CONNECTIONS;
        if (!held.isEmpty() && (full || random.nextInt(active.size() * MOST_CONNECTIONS) < held.size())) {
            leave();
        } else if (!active.isEmpty()) {
            enter();
        }
    }

    private void enter() {
        ConnectionId connection = new ConnectionId(connections++);
        TenantId tenant = active.get(random.nextInt(active.size()));
        if (gate.admit(connection, tenant)) {
            held.add(new Held(connection, tenant));
        }
    }

    private void leave() {
        Held gone = held.remove(random.nextInt(held.size()));
        gate.onQueryEnd(gone.connection, gone.tenant);
        gate.onConnectionClosed(gone.connection);
    }
}
