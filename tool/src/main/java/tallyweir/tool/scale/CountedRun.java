package tallyweir.tool.scale;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import tallyweir.fleet.ratis.EncodedMessages;

/** A whole fleet in one process on a simulated clock, whose messages are all encoded and counted. */
final class CountedRun {
    private static final long START_SPREAD = 5 * ScaleSettings.SECOND;
    private static final long SETTLE = 15 * ScaleSettings.SECOND;
    private static final long FINISH = 60 * ScaleSettings.SECOND;
    private static final int PERCENTILE_MEDIAN = 50;
    private static final int PERCENTILE_HIGH = 99;
    private static final double NANOSECONDS = 1e9;
    private static final double MOST_PROCESSOR = 0.7; // of the one core that entries are applied on
    private static final double STORM = 2; // times the steady rate from which on a peak is a finding

    private final ScaleOptions options;
    private final FaultPlan plan;
    private final Progress progress;
    private final EventQueue events = new EventQueue();
    private final ChangeTracker changes = new ChangeTracker();
    private final Topology topology;
    private final SimulatedNetwork network;
    private final SimulatedVoters voters;
    private final SimulatedServers servers;
    private final SimulatedOperator operator;
    private final SimulatedFaults faults;
    private final CapWatch caps;
    private final SplittableRandom random;

    CountedRun(ScaleOptions options, SimulationParts parts, FaultPlan plan, Progress progress) {
        this.options = options;
        this.plan = plan;
        this.progress = progress;
        random = new SplittableRandom(options.seed());
        topology = new Topology(options.size().servers());
        network = new SimulatedNetwork(random.nextLong(), topology);
        EncodedMessages messages = new EncodedMessages();
        voters = new SimulatedVoters(events, messages, parts.voter(), parts.voter());
        servers = new SimulatedServers(
                events,
                messages,
                parts,
                voters,
                network,
                changes,
                options.size().servers(),
                random.nextLong());
        operator = new SimulatedOperator(events, messages, parts.operator(random.nextLong()), voters, servers, changes);
        faults = new SimulatedFaults(events, servers, voters, topology, random.nextLong());
        caps = new CapWatch(servers, operator.operator(), options.size().tenants());
    }

    /** Runs it. */
    RunResult run() {
        operator.found();
        for (int server = 0; server < options.size().servers(); server++) {
            int number = server;
            events.at(random.nextLong(START_SPREAD), () -> servers.start(number));
        }
        runUntil(SETTLE, "settles");
        if (servers.counting().stream().anyMatch(server -> servers.acting(server) == 0)) {
            throw new IllegalStateException("not all servers came into the fleet before the run");
        }
        reset();
        long end = events.now() + options.span();
        operator.changeUntil(end, options.changeEvery());
        faults.plan(plan);
        runUntil(end, "runs");
        List<RoleUse> roles = roles();
        finish(end);
        return result(roles);
    }

    private void reset() {
        servers.meter().reset();
        voters.ofLeading().reset();
        voters.ofFollowing().reset();
    }

    private void runUntil(long end, String doing) {
        while (events.now() < end) {
            events.runUntil(Math.min(end, events.now() + ScaleSettings.SECOND));
            caps.look();
            progress.show(doing, events.now() / (double) end);
        }
    }

    /** Goes on without further changes until all is done, or for a set time. */
    private void finish(long end) {
        while (events.now() < end + FINISH && !(operator.idle() && changes.idle() && faults.healed())) {
            runUntil(events.now() + ScaleSettings.SECOND, "finishes");
        }
    }

    private List<RoleUse> roles() {
        double seconds = options.seconds();
        return List.of(
                use(
                        Roles.LEADER,
                        voters.ofLeading(),
                        1,
                        seconds,
                        "counted; processor of applying entries, without Ratis"),
                use(Roles.FOLLOWER, voters.ofFollowing(), 1, seconds, "as the leader's; acknowledgements worked out"),
                use(Roles.SERVER, servers.meter(), options.size().servers(), seconds, "counted, mean of all"));
    }

    private static RoleUse use(String role, TrafficMeter meter, int processes, double seconds, String basis) {
        double each = processes * seconds;
        return new RoleUse(
                role,
                meter.messages() / each,
                meter.bytes() / each,
                meter.nanoseconds() / NANOSECONDS / each,
                -1,
                basis);
    }

    private RunResult result(List<RoleUse> roles) {
        int unfinished = operator.close() + changes.close(events.now());
        List<FaultOutcome> outcomes = faults.outcomes();
        return new RunResult(
                operator.taken() + unfinished,
                unfinished,
                changes.seconds(PERCENTILE_MEDIAN),
                changes.seconds(PERCENTILE_HIGH),
                roles,
                outcomes,
                servers.stoodBack(),
                caps.passed(),
                caps.fullest(),
                findings(roles, outcomes, unfinished),
                network.digest());
    }

    private List<String> findings(List<RoleUse> roles, List<FaultOutcome> outcomes, int unfinished) {
        List<String> all = new ArrayList<>();
        double steady = roles.get(0).messagesPerSecond();
        for (FaultOutcome outcome : outcomes) {
            if (outcome.peakMessages() > STORM * steady) {
                all.add(String.format(
                        "reconnection-storm %s at %.1f: %d messages/s, %.1f times the mean of the run",
                        outcome.fault().kind().label(),
                        outcome.fault().at(),
                        outcome.peakMessages(),
                        outcome.peakMessages() / steady));
            }
            if (outcome.peakProcessor() > 1) {
                all.add(String.format(
                        "voter-overloaded %s at %.1f: %.1f s of processor time in one second",
                        outcome.fault().kind().label(), outcome.fault().at(), outcome.peakProcessor()));
            }
            if (outcome.recovered() < 0) {
                all.add(String.format(
                        "not-recovered %s at %.1f",
                        outcome.fault().kind().label(), outcome.fault().at()));
            }
        }
        if (roles.get(0).processor() > MOST_PROCESSOR) {
            all.add(String.format(
                    "voter-overloaded: applying entries takes the voter that leads %.0f%% of a core",
                    100 * roles.get(0).processor()));
        }
        if (operator.turnedDown() > 0) {
            all.add("revisions-turned-down " + operator.turnedDown() + "; their changes were asked for again");
        }
        if (unfinished > 0) {
            all.add("changes-unfinished " + unfinished + " when the run ended");
        }
        if (servers.stoodBack() > 0) {
            all.add("stood-back " + servers.stoodBack() + " times a server that ran and could be reached");
        }
        if (caps.passed() > 0) {
            all.add("cap-passed " + caps.passed() + " times");
        }
        return all;
    }
}
