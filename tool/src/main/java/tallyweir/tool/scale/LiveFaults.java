package tallyweir.tool.scale;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Iterator;
import java.util.List;
import java.util.SplittableRandom;

/** Plays the faults of a plan on the processes of a live run, and watches how long each takes to heal. */
final class LiveFaults {
    private static final double TICKS = ScaleSettings.SECOND;

    private record Watch(PlannedFault fault, BitSet servers, long began, long ended, long revision) {}

    private final EventQueue events;
    private final HollowProcesses servers;
    private final LiveOperator operator;
    private final LiveSeries series;
    private final Topology topology;
    private final SplittableRandom random;
    private final List<Watch> watches = new ArrayList<>();
    private final List<FaultOutcome> outcomes = new ArrayList<>();

    LiveFaults(
            EventQueue events,
            HollowProcesses servers,
            LiveOperator operator,
            LiveSeries series,
            Topology topology,
            long seed) {
        this.events = events;
        this.servers = servers;
        this.operator = operator;
        this.series = series;
        this.topology = topology;
        random = new SplittableRandom(seed);
    }

    /** Puts the faults of a plan into the queue, from now on. */
    void plan(FaultPlan plan) {
        for (PlannedFault fault : plan.faults()) {
            events.after((long) (fault.at() * TICKS), () -> begin(fault));
        }
    }

    private void begin(PlannedFault fault) {
        boolean cut = fault.kind() == PlannedFault.Kind.REGIONS_CUT;
        BitSet hit = topology.hitBy(fault.kind(), random);
        range(cut ? HollowProcesses.CUT : HollowProcesses.END, hit);
        long began = events.now();
        events.after((long) (fault.lasts() * TICKS), () -> {
            range(cut ? HollowProcesses.MEND : HollowProcesses.START, hit);
            watches.add(new Watch(fault, hit, began, events.now(), operator.lastRevision()));
        });
    }

    private void range(String command, BitSet hit) {
        if (hit.isEmpty()) {
            return;
        }
        try {
            servers.range(command, hit.nextSetBit(0), hit.length());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Looks which have healed: all servers that run and are reached act on the last revision of that time. */
    void look() throws IOException {
        for (Iterator<Watch> each = watches.iterator(); each.hasNext(); ) {
            Watch watch = each.next();
            HollowProcesses.Status status = servers.status(watch.revision);
            if (status.serving() >= status.counting()) {
                each.remove();
                outcomes.add(outcome(watch, (events.now() - watch.ended) / TICKS));
            }
        }
    }

    private FaultOutcome outcome(Watch watch, double took) {
        return new FaultOutcome(
                watch.fault,
                watch.servers.cardinality(),
                took,
                series.peakMessages(watch.began, events.now()),
                series.peakProcessor(watch.began, events.now()));
    }

    /** What each fault did; those that have not healed by now are told as such. */
    List<FaultOutcome> outcomes() {
        watches.forEach(watch -> outcomes.add(outcome(watch, -1)));
        watches.clear();
        return outcomes;
    }

    boolean healed() {
        return watches.isEmpty();
    }
}
