package tallyweir.tool.scale;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/** The servers of a simulated fleet: their processes, which are started, ended and cut off, and their messages. */
final class SimulatedServers {
    private static final int LOAD_STEPS_PER_SECOND = 4;

    private final EventQueue events;
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
            SimulationParts parts,
            SimulatedVoters voters,
            SimulatedNetwork network,
            ChangeTracker changes,
            int count,
            long seed) {
        this.events = events;
        this.parts = parts;
        this.voters = voters;
        this.network = network;
        this.changes = changes;
        random = new SplittableRandom(seed);
        for (int number = 0; number < count; number++) {
            slots.add(new ServerSlot(number));
        }
    }

    /** Starts a process where there is none. */
    void start(int number) {
        ServerSlot slot = slots.get(number);
        if (slot.process() != null) {
            return;
        }
        long life = slot.nextLife();
        slot.started(parts.server(number, life, random.nextLong(), events.now(), new Connection(slot, life)));
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
        int all = 0;
        for (ServerSlot slot : slots) {
            all += slot.process() == null ? 0 : slot.process().connections(tenant);
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

    /** A process's way to the voter that leads. */
    private final class Connection implements ServerUnderTest.Network {
        private final ServerSlot slot;
        private final long life;

        Connection(ServerSlot slot, long life) {
            this.slot = slot;
            this.life = life;
        }

        @Override
        public void command(byte[] bytes) {
            send(bytes, voters::command, ServerUnderTest::answered, ServerUnderTest::commandFailed);
        }

        @Override
        public void question(byte[] bytes) {
            send(bytes, voters::question, ServerUnderTest::told, ServerUnderTest::questionFailed);
        }

        @Override
        public void later(Runnable action) {
            events.at(events.now(), () -> call(slot, life, process -> action.run()));
        }

        private void send(byte[] bytes, Handler handler, Hearer hearer, Consumer<ServerUnderTest> failed) {
            meter.message(events.now(), bytes.length);
            network.note(events.now(), slot.number(), bytes);
            long sent = events.now();
            events.after(network.latency(slot.number()), () -> {
                if (slot.reached()) {
                    answer(handler.handle(bytes), sent, hearer, failed);
                } else {
                    giveUp(sent, failed);
                }
            });
        }

        private void answer(byte[] answer, long sent, Hearer hearer, Consumer<ServerUnderTest> failed) {
            events.after(network.latency(slot.number()), () -> {
                if (!slot.reached()) {
                    giveUp(sent, failed);
                } else if (slot.runs(life)) {
                    meter.message(events.now(), answer.length);
                    network.note(events.now(), slot.number(), answer);
                    call(slot, life, process -> hearer.hear(process, answer));
                }
            });
        }

        private void giveUp(long sent, Consumer<ServerUnderTest> failed) {
            events.at(sent + SimulatedNetwork.GIVE_UP, () -> call(slot, life, failed));
        }
    }

    private interface Handler {
        byte[] handle(byte[] message);
    }

    private interface Hearer {
        void hear(ServerUnderTest server, byte[] answer);
    }
}
