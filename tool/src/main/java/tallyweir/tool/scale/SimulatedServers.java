package tallyweir.tool.scale;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import tallyweir.fleet.ratis.EncodedMessages;
import tallyweir.ids.TenantId;

/** The servers of a simulated fleet: their processes, which are started, ended and cut off. */
final class SimulatedServers {
    private static final int LOAD_STEPS_PER_SECOND = 4;

    private final EventQueue events;
    private final EncodedMessages messages;
    private final SimulationParts parts;
    private final SimulatedVoters voters;
    private final SimulatedNetwork network;
    private final ChangeTracker changes;
    private final SplittableRandom random;
    private final List<ServerSlot> slots = new ArrayList<>();
    private final TrafficMeter meter = new TrafficMeter();
    private int stoodBack;

    SimulatedServers(
            EventQueue events,
            EncodedMessages messages,
            SimulationParts parts,
            SimulatedVoters voters,
            SimulatedNetwork network,
            ChangeTracker changes,
            int count,
            long seed) {
        this.events = events;
        this.messages = messages;
        this.parts = parts;
        this.voters = voters;
        this.network = network;
        this.changes = changes;
        random = new SplittableRandom(seed);
        for (int number = 0; number < count; number++) {
            slots.add(new ServerSlot(number));
        }
    }

    /** Starts a process where there is none; the first at each place has the first revision's table already. */
    void start(int number) {
        ServerSlot slot = slots.get(number);
        if (slot.process() != null) {
            return;
        }
        long life = slot.nextLife();
        SimulatedClient client = new SimulatedClient(events, messages, voters, network, meter, slot);
        HollowServer.Identity identity = new HollowServer.Identity(number, life, random.nextLong());
        slot.started(parts.server(
                identity,
                events.now(),
                life == 1,
                client,
                task -> events.at(events.now(), () -> run(slot, life, task))));
        wake(slot, life);
        events.after(random.nextLong(ScaleSettings.SECOND), () -> load(slot, life));
    }

    /** Ends a process at once. */
    void end(int number) {
        slots.get(number).ended();
        changes.gone(number, events.now());
    }

    /** Whether messages between a server and the voters arrive. */
    void reached(int number, boolean is) {
        slots.get(number).reached(is);
        if (!is) {
            changes.gone(number, events.now());
        }
    }

    /** Servers that run and can be reached. */
    BitSet counting() {
        BitSet all = new BitSet();
        slots.forEach(slot -> all.set(slot.number(), slot.counts()));
        return all;
    }

    ServerSlot slot(int number) {
        return slots.get(number);
    }

    /** The revision that a server acts on, 0 for none. */
    long acting(int number) {
        ServerUnderTest process = slots.get(number).process();
        return process == null ? 0 : process.acting();
    }

    /** Connections of a tenant over the whole fleet. */
    int connections(int tenant) {
        TenantId named = RevisionEntries.tenant(tenant);
        int all = 0;
        for (ServerSlot slot : slots) {
            all += slot.process() == null ? 0 : slot.process().connections(named);
        }
        return all;
    }

    /** How often a server that ran and could be reached came to stand back. */
    int stoodBack() {
        return stoodBack;
    }

    TrafficMeter meter() {
        return meter;
    }

    private void load(ServerSlot slot, long life) {
        if (slot.runs(life)) {
            call(slot, life, ServerUnderTest::drawLoad);
            events.after(ScaleSettings.SECOND / LOAD_STEPS_PER_SECOND, () -> load(slot, life));
        }
    }

    private void wake(ServerSlot slot, long life) {
        if (slot.runs(life)) {
            slot.wakeAt(Long.MAX_VALUE);
            call(slot, life, process -> {});
        }
    }

    private void run(ServerSlot slot, long life, Runnable task) {
        call(slot, life, process -> task.run());
    }

    /** Has a server do something at this moment, if the process still runs, and looks at what has become of it. */
    private void call(ServerSlot slot, long life, Consumer<ServerUnderTest> action) {
        if (!slot.runs(life)) {
            return;
        }
        long began = System.nanoTime();
        slot.process().clock(events.now());
        action.accept(slot.process());
        meter.worked(events.now(), System.nanoTime() - began);
        observe(slot);
        wakeWhenDue(slot, life);
    }

    private void observe(ServerSlot slot) {
        if (slot.actsAnew() && slot.reached()) {
            changes.acts(slot.number(), slot.process().acting(), events.now());
        }
        if (slot.standsBackAnew() && slot.reached()) {
            stoodBack++;
        }
    }

    private void wakeWhenDue(ServerSlot slot, long life) {
        long due = slot.process().next();
        if (due < slot.wakeAt()) {
            slot.wakeAt(Math.max(due, events.now() + 1));
            events.at(slot.wakeAt(), () -> {
                if (slot.runs(life) && events.now() >= slot.wakeAt()) {
                    wake(slot, life);
                }
            });
        }
    }
}
