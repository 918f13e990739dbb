package tallyweir.tool.scale;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import tallyweir.fleet.ratis.RatisFleetClient;

/** A fleet of three voters in processes of their own and servers in a few more, on loopback, in real time. */
final class LiveRun implements AutoCloseable {
    private static final long NANOSECONDS_PER_TICK = 100_000;
    private static final long OPERATOR_GIVE_UP_MILLISECONDS = 10_000;
    private static final long LOOK_MILLISECONDS = 20;
    private static final long SAMPLE = ScaleSettings.SECOND / 2;
    private static final long READY_SECONDS = 90;
    private static final long FINISH_SECONDS = 30;
    private static final long MOST_MILLISECONDS = 3_600_000;
    private static final int DIGITS = 3;
    private static final double MILLISECONDS = 1_000;
    private static final double NANOSECONDS = 1e9;
    private static final double MEDIAN = 50;
    private static final double HIGH = 99;
    private static final int START_STEP = 50; // servers that are started at once at the beginning
    private static final int START_EVERY_MILLISECONDS = 100;

    private final ScaleOptions options;
    private final FaultPlan plan;
    private final Progress progress;
    private final EventQueue events = new EventQueue();
    private final LiveSeries series = new LiveSeries();
    private final LiveVoters voters;
    private final HollowProcesses servers;
    private final RatisFleetClient client;
    private final LiveOperator operator;
    private final OperatorUnderTest asks;
    private final LiveFaults faults;
    private final long began = System.nanoTime();
    private long sampledAt;
    private long capsPassed;
    private double fullestCap;

    LiveRun(ScaleOptions options, SimulationParts parts, FaultPlan plan, Progress progress, int serversEach, Path dir)
            throws IOException {
        this.options = options;
        this.plan = plan;
        this.progress = progress;
        FleetSize size = options.size();
        voters = new LiveVoters(size.servers(), dir);
        servers = new HollowProcesses(options, voters.addresses(), serversEach, dir);
        client = new RatisFleetClient(ScaleSettings.FLEET, voters.addresses(), OPERATOR_GIVE_UP_MILLISECONDS);
        asks = parts.operator(options.seed());
        operator = new LiveOperator(events, asks, client);
        faults = new LiveFaults(events, servers, operator, series, new Topology(size.servers()), options.seed());
    }

    /** Processes that a run takes, with this one. */
    static int processes(FleetSize size, int serversEach) {
        return 1 + SimulatedVoters.VOTERS + (size.servers() + serversEach - 1) / serversEach;
    }

    /** Runs it. */
    RunResult run() throws IOException, InterruptedException {
        begin();
        HollowProcesses.Status before = servers.status(1);
        List<LiveVoters.Use> votersBefore = voters.uses();
        runFor(options.seconds(), true);
        HollowProcesses.Status after = servers.status(1);
        List<LiveVoters.Use> votersAfter = voters.uses();
        List<RoleUse> roles = roles(before, after, votersBefore, votersAfter);
        finish();
        return result(roles);
    }

    private void begin() throws IOException, InterruptedException {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(READY_SECONDS);
        OperatorUnderTest.Change first = asks.publishFirst();
        while (!operator.publish(first)) {
            awaitBefore(deadline, "no revision came into force");
        }
        int count = options.size().servers();
        for (int from = 0; from < count; from += START_STEP) {
            servers.range(HollowProcesses.START, from, Math.min(count, from + START_STEP));
            TimeUnit.MILLISECONDS.sleep(START_EVERY_MILLISECONDS);
            progress.show("starts", from / (double) count);
        }
        while (servers.status(1).serving() < count) {
            awaitBefore(deadline, "not all servers came into the fleet: " + servers.status(1));
        }
    }

    private static void awaitBefore(long deadline, String otherwise) throws InterruptedException {
        if (System.nanoTime() > deadline) {
            throw new IllegalStateException(otherwise + " within " + READY_SECONDS + " s");
        }
        TimeUnit.MILLISECONDS.sleep(LOOK_MILLISECONDS);
    }

    private long now() {
        return (System.nanoTime() - began) / NANOSECONDS_PER_TICK;
    }

    private void runFor(double seconds, boolean withChanges) throws IOException, InterruptedException {
        long start = now();
        long end = start + (long) (seconds * ScaleSettings.SECOND);
        events.runUntil(start);
        if (withChanges) {
            operator.changeUntil(end, options.changeEvery());
            faults.plan(plan);
        }
        while (now() < end) {
            step();
            progress.show("runs", (now() - start) / (double) (end - start));
        }
    }

    private void step() throws IOException, InterruptedException {
        events.runUntil(now());
        faults.look();
        if (now() - sampledAt > SAMPLE) {
            sample();
        }
        TimeUnit.MILLISECONDS.sleep(LOOK_MILLISECONDS);
    }

    private void sample() throws IOException {
        sampledAt = now();
        long busiest = 0;
        for (LiveVoters.Use use : voters.uses()) {
            busiest = Math.max(busiest, use.processorNanoseconds());
        }
        series.add(sampledAt, servers.status(1).messages(), busiest);
        int tenant = (int) (sampledAt
                / SAMPLE
                % Math.min(DrawnLoad.HOT_TENANTS, options.size().tenants()));
        long connections = servers.connections(tenant);
        int cap = asks.highestCap(tenant);
        capsPassed += connections > cap ? 1 : 0;
        fullestCap = Math.max(fullestCap, connections / (double) cap);
    }

    private void finish() throws IOException, InterruptedException {
        long end = now() + FINISH_SECONDS * ScaleSettings.SECOND;
        while (now() < end && !(operator.waiting().isEmpty() && faults.healed() && allActed())) {
            step();
        }
    }

    private boolean allActed() throws IOException {
        HollowProcesses.Status status = servers.status(operator.lastRevision());
        return status.serving() >= status.counting();
    }

    private List<RoleUse> roles(
            HollowProcesses.Status before,
            HollowProcesses.Status after,
            List<LiveVoters.Use> votersBefore,
            List<LiveVoters.Use> votersAfter)
            throws IOException {
        double seconds = options.seconds();
        int count = options.size().servers();
        List<RoleUse> roles = new ArrayList<>();
        Optional<Integer> leading = LiveVoters.leading(votersAfter);
        double messages = (after.messages() - before.messages()) / seconds;
        double bytes = (after.bytes() - before.bytes()) / seconds;
        for (int voter = 0; voter < votersAfter.size(); voter++) {
            boolean leads = leading.isPresent() && leading.get() == voter;
            long used = votersAfter.get(voter).processorNanoseconds()
                    - votersBefore.get(voter).processorNanoseconds();
            roles.add(new RoleUse(
                    leads ? Roles.LEADER : Roles.FOLLOWER,
                    leads ? messages : 0,
                    leads ? bytes : 0,
                    used / NANOSECONDS / seconds,
                    votersAfter.get(voter).residentBytes(),
                    leads
                            ? "calls of servers and all their bytes, without the log's; processor and memory of the process"
                            : "processor and memory of the process; messages not counted"));
        }
        double each = count * seconds;
        roles.add(
                new RoleUse(
                        Roles.SERVER,
                        messages / count,
                        bytes / count,
                        (after.processorNanoseconds() - before.processorNanoseconds()) / NANOSECONDS / each,
                        servers.heapBytes() / count,
                        "calls, and bytes read and written by the processes; processor and heap of whole processes, by their servers"));
        return roles;
    }

    private RunResult result(List<RoleUse> roles) throws IOException {
        Histogram inForce = new Histogram(MOST_MILLISECONDS, DIGITS);
        int unfinished = operator.waiting().size();
        long end = System.currentTimeMillis();
        operator.waiting().forEach(asked -> inForce.recordValue(Math.max(0, end - asked)));
        for (LiveOperator.Taken change : operator.taken()) {
            long at = servers.actedAt(change.revision());
            unfinished += at == 0 ? 1 : 0;
            inForce.recordValue(Math.max(0, (at == 0 ? end : at) - change.askedAt()));
        }
        long stoodBack = servers.status(1).stoodBack();
        return new RunResult(
                operator.taken().size() + operator.waiting().size(),
                unfinished,
                inForce.getValueAtPercentile(MEDIAN) / MILLISECONDS,
                inForce.getValueAtPercentile(HIGH) / MILLISECONDS,
                roles,
                faults.outcomes(),
                (int) stoodBack,
                capsPassed,
                fullestCap,
                findings(unfinished, stoodBack),
                "");
    }

    private List<String> findings(int unfinished, long stoodBack) throws IOException {
        List<String> all = new ArrayList<>();
        if (!allActed()) {
            all.add("not-all-act on the last revision when the run ended: " + servers.status(operator.lastRevision()));
        }
        if (unfinished > 0) {
            all.add("changes-unfinished " + unfinished + " when the run ended");
        }
        if (stoodBack > 0) {
            all.add("stood-back " + stoodBack + " times a server that ran and could be reached");
        }
        if (capsPassed > 0) {
            all.add("cap-passed " + capsPassed + " times");
        }
        return all;
    }

    @Override
    public void close() {
        client.close();
        servers.close();
        voters.close();
    }
}
