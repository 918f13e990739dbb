package tallyweir.tool.scale;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.SplittableRandom;

/** Plays the faults of a plan, and watches how long each takes to heal. */
final class SimulatedFaults {
    private static final long LOOK = ScaleSettings.SECOND / 10;
    private static final double TICKS = ScaleSettings.SECOND;
    private static final double NANOSECONDS = 1e9;

    private record Watch(PlannedFault fault, BitSet servers, long began, long ended, long revision) {}

    private final EventQueue events;
    private final SimulatedServers servers;
    private final SimulatedVoters voters;
    private final Topology topology;
    private final SplittableRandom random;
    private final int[] holds; // faults that hold a server down or cut off
    private final List<Watch> watches = new ArrayList<>();
    private final List<FaultOutcome> outcomes = new ArrayList<>();

    SimulatedFaults(EventQueue events, SimulatedServers servers, SimulatedVoters voters, Topology topology, long seed) {
        this.events = events;
        this.servers = servers;
        this.voters = voters;
        this.topology = topology;
        random = new SplittableRandom(seed);
        holds = new int[topology.servers()];
    }

    /** Puts the faults of a plan into the queue, from now on. */
    void plan(FaultPlan plan) {
        for (PlannedFault fault : plan.faults()) {
            events.after((long) (fault.at() * TICKS), () -> begin(fault));
        }
    }

    private void begin(PlannedFault fault) {
        BitSet hit = topology.hitBy(fault.kind(), random);
        boolean cut = fault.kind() == PlannedFault.Kind.REGIONS_CUT;
        hit.stream().forEach(server -> fail(server, cut));
        long began = events.now();
        events.after((long) (fault.lasts() * TICKS), () -> end(fault, hit, began));
    }

    private void fail(int server, boolean cut) {
        if (cut) {
            servers.reached(server, false);
        } else if (holds[server]++ == 0) {
            servers.end(server);
        }
    }

    private void end(PlannedFault fault, BitSet hit, long began) {
        boolean cut = fault.kind() == PlannedFault.Kind.REGIONS_CUT;
        hit.stream().forEach(server -> heal(server, cut));
        watches.add(new Watch(fault, hit, began, events.now(), voters.leads().inForce()));
        if (watches.size() == 1) {
            events.after(LOOK, this::look);
        }
    }

    private void heal(int server, boolean cut) {
        if (cut) {
            servers.reached(server, true);
        } else if (--holds[server] == 0) {
            servers.start(server);
        }
    }

    private void look() {
        for (Watch watch : List.copyOf(watches)) {
            boolean healed = watch.servers.stream()
                    .allMatch(
                            server -> holds[server] > 0 || servers.slot(server).serves(watch.revision));
            if (healed) {
                watches.remove(watch);
                double took = (events.now() - watch.ended) / TICKS;
                outcomes.add(outcome(watch, took));
            }
        }
        if (!watches.isEmpty()) {
            events.after(LOOK, this::look);
        }
    }

    private FaultOutcome outcome(Watch watch, double took) {
        TrafficMeter leading = voters.ofLeading();
        return new FaultOutcome(
                watch.fault,
                watch.servers.cardinality(),
                took,
                leading.peakMessages(watch.began, events.now()),
                leading.peakNanoseconds(watch.began, events.now()) / NANOSECONDS);
    }

    /** What each fault did; those that have not healed by now are told as such. */
    List<FaultOutcome> outcomes() {
        watches.forEach(watch -> outcomes.add(outcome(watch, -1)));
        watches.clear();
        return outcomes;
    }

    /** Whether all have healed. */
    boolean healed() {
        return watches.isEmpty();
    }
}
