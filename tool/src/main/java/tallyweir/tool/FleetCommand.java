package tallyweir.tool;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.EnumSet;
import java.util.Map;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import tallyweir.config.BadSetting;
import tallyweir.config.Operators;
import tallyweir.config.Routing;
import tallyweir.fleet.Answers;
import tallyweir.fleet.Body;
import tallyweir.fleet.Digest;
import tallyweir.fleet.Explorer;
import tallyweir.fleet.Fault;
import tallyweir.fleet.FleetException;
import tallyweir.fleet.Guard;
import tallyweir.fleet.OperatorCommand;
import tallyweir.fleet.RevisionId;
import tallyweir.fleet.ratis.Link;
import tallyweir.search.Search;
import tallyweir.tool.bench.ConnectionBench;
import tallyweir.tool.bench.FleetBench;

@Command(
        name = "fleet",
        mixinStandardHelpOptions = true,
        description = "What a fleet routes by: its revisions, who acts on which, and what its promises rest on.",
        subcommands = {
            FleetCommand.Publish.class,
            FleetCommand.Rollback.class,
            FleetCommand.Audit.class,
            FleetCommand.Caps.class,
            FleetCommand.Explore.class,
            FleetDrill.class,
            FleetBench.class,
            ConnectionBench.class
        })
final class FleetCommand implements Runnable {
    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "a subcommand is needed");
    }

    /** Which fleet. */
    static final class Which {
        @Option(
                names = "--operators",
                required = true,
                description = "The operators' file, whose fleet part names the fleet and" + " its voters.")
        private Path operators;

        @Option(
                names = "--give-up-ms",
                defaultValue = "10000",
                description = "How long an answer is waited for, ms" + " (${DEFAULT-VALUE}).")
        private long giveUp;

        Link open() {
            Operators o = Operators.read(operators);
            if (!o.inFleet()) {
                throw new BadSetting("fleet is missing in " + operators + ": it names the fleet and its voters");
            }
            return new Link(o.fleetName(), o.voters(), giveUp);
        }
    }

    /** A change that an operator asks for. */
    abstract static class Change implements Callable<Integer>, Answers {
        private static final int LOOK_MS = 100;

        @Spec
        CommandSpec spec;

        @Mixin
        private Which which;

        @Option(
                names = "--expected",
                description = "The revision in force that you saw; without it, the one in force now.")
        private Long expected;

        @Option(names = "--by", defaultValue = "${sys:user.name}", description = "Who asks (${DEFAULT-VALUE}).")
        String by;

        @Option(names = "--why", required = true, description = "The reason, kept with the revision.")
        String why;

        @Option(names = "--force", description = "Even if too many servers say that they cannot take it.")
        boolean force;

        @Option(names = "--again", description = "The command whose outcome was unknown: sent again, it acts once.")
        private String again;

        @Option(
                names = "--follow-s",
                defaultValue = "120",
                description = "How long it is followed, seconds (${DEFAULT-VALUE}).")
        private long follow;

        private RevisionId done;
        private Fault fault;

        abstract void ask(Link link, OperatorCommand command, RevisionId expected) throws IOException;

        @Override
        public Integer call() throws IOException, InterruptedException {
            try (Link link = which.open()) {
                RevisionId seen = new RevisionId(
                        expected != null
                                ? expected
                                : link.audit().get("in_force").longValue());
                ask(
                        link,
                        new OperatorCommand(
                                again != null ? again : UUID.randomUUID().toString()),
                        seen);
                if (fault != null) {
                    throw fault.thrown();
                }
                return follow(link, spec.commandLine().getOut());
            } catch (BadSetting e) {
                return say(spec, new Fault.BodyFaulty(e.getMessage()));
            } catch (FleetException e) {
                return say(spec, e.fault());
            }
        }

        /** Until every server is accounted for: acts on it, or is out or gone. */
        private int follow(Link link, PrintWriter out) throws InterruptedException {
            String before = "";
            long end = System.nanoTime() + follow * 1_000_000_000L;
            while (true) {
                JsonNode audit = link.audit();
                JsonNode r = revision(audit, done.value());
                if (r.get("fate").textValue().equals("TURNED_DOWN")) {
                    throw new Fault.CannotTake(done.value(), r.get("reasons").textValue()).thrown();
                }
                int acts = 0;
                int behind = 0;
                int shutOut = 0;
                int unknown = 0;
                for (JsonNode s : audit.get("servers")) {
                    String standing = s.get("standing").textValue();
                    if (standing.equals("OUT")) {
                        shutOut++;
                    } else if (s.get("silent").booleanValue() || s.get("odd").booleanValue()) {
                        unknown++;
                    } else if (s.get("acting").longValue() >= done.value()) {
                        acts++;
                    } else {
                        behind++;
                    }
                }
                boolean open = r.get("fate").textValue().equals("PROPOSED");
                String is = "revision " + done.value() + (open ? " proposed" : " in force") + ": acted " + acts
                        + ", behind " + behind + ", shut out " + shutOut + ", unknown " + unknown;
                if (!is.equals(before)) {
                    out.println(is);
                    before = is;
                }
                if (!open && behind + unknown == 0) {
                    return 0;
                }
                if (System.nanoTime() > end) {
                    return 1;
                }
                TimeUnit.MILLISECONDS.sleep(LOOK_MS);
            }
        }

        private static JsonNode revision(JsonNode audit, long id) {
            for (JsonNode r : audit.get("revisions")) {
                if (r.get("revision").longValue() == id) {
                    return r;
                }
            }
            throw new Fault.NoSuchRevision(id, audit.get("in_force").longValue()).thrown();
        }

        @Override
        public void done(RevisionId revision) {
            done = revision;
        }

        @Override
        public void refused(Fault why) {
            fault = why;
        }
    }

    /** Prints what is the matter and what can be done; the exit code goes by the kind. */
    static int say(CommandSpec spec, Fault fault) {
        spec.commandLine().getErr().println("tallyweir: " + fault.what());
        spec.commandLine().getErr().println("what to do: " + fault.advice());
        return fault.exit();
    }

    @Command(
            name = "publish",
            mixinStandardHelpOptions = true,
            description = "Proposes a revision and follows it until every server is accounted for.")
    static final class Publish extends Change {
        @Parameters(paramLabel = "FILE", description = "The revision, as deploy/example-revision.json.")
        private Path file;

        @Override
        void ask(Link link, OperatorCommand command, RevisionId expected) throws IOException {
            byte[] text = Files.readAllBytes(file);
            Routing r = Routing.parse(text);
            link.publish(command, expected, Digest.of(text), new Body(text, r.caps, r.digests()), by, why, force, this);
        }
    }

    @Command(
            name = "rollback",
            mixinStandardHelpOptions = true,
            description =
                    "Brings any past revision back as a new one and follows it until every server is accounted for.")
    static final class Rollback extends Change {
        @Option(names = "--to", required = true, description = "The revision that is to come back.")
        private long to;

        @Override
        void ask(Link link, OperatorCommand command, RevisionId expected) {
            link.rollback(command, expected, new RevisionId(to), by, why, force, this);
        }
    }

    @Command(
            name = "audit",
            mixinStandardHelpOptions = true,
            description = "Shows who acted on which revision and when, who is behind, out or unheard of.")
    static final class Audit implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @Mixin
        private Which which;

        @Option(names = "--json", description = "All of it, as JSON.")
        private boolean json;

        @Override
        public Integer call() {
            JsonNode a;
            try (Link link = which.open()) {
                a = link.audit();
            } catch (FleetException e) {
                return say(spec, e.fault());
            }
            PrintWriter out = spec.commandLine().getOut();
            if (json) {
                out.println(a.toPrettyString());
                return 0;
            }
            out.println("fleet " + a.get("fleet").textValue() + ": revision "
                    + a.get("in_force").longValue() + " in force, "
                    + a.get("live").intValue() + " live, " + a.get("out").intValue() + " shut out");
            for (JsonNode r : a.get("revisions")) {
                out.println("revision " + r.get("revision").longValue() + " "
                        + r.get("fate").textValue()
                        + (r.get("of").longValue() > 0 ? " (as " + r.get("of").longValue() + ")" : "") + " by "
                        + r.get("by").textValue() + " since " + time(r.get("since_ms")) + ": "
                        + r.get("why").textValue()
                        + (r.get("reasons").textValue().isEmpty()
                                ? ""
                                : "; " + r.get("reasons").textValue()));
            }
            a.get("servers").forEach(s -> server(out, s));
            a.get("gone").forEach(s -> server(out, s));
            return 0;
        }

        private static void server(PrintWriter out, JsonNode s) {
            out.println("server " + s.get("server").textValue() + " "
                    + s.get("standing").textValue()
                    + (s.get("marked").booleanValue() ? " MARKED" : "")
                    + (s.get("odd").booleanValue() ? " DIGEST DIFFERS" : "")
                    + ": acts on "
                    + (s.get("heard_ms").longValue() == 0
                            ? "unknown"
                            : s.get("acting").longValue())
                    + ", heard " + time(s.get("heard_ms")) + ", outdated queries "
                    + s.get("outdated").longValue()
                    + (s.get("cause").textValue().isEmpty()
                            ? ""
                            : ", " + s.get("cause").textValue()));
            for (JsonNode p : s.get("passages")) {
                out.println("  " + time(p.get("at_ms")) + " from "
                        + p.get("from").longValue() + " to " + p.get("to").longValue() + ", behind "
                        + p.get("behind_ms").doubleValue() + " ms, outdated queries "
                        + p.get("outdated").longValue());
            }
        }

        private static String time(JsonNode ms) {
            return ms.longValue() == 0
                    ? "unknown"
                    : Instant.ofEpochMilli(ms.longValue()).toString();
        }
    }

    @Command(
            name = "caps",
            mixinStandardHelpOptions = true,
            description =
                    "Shows each tenant's cap, what of it may be relied on, and whether a cap that was lowered is reached.")
    static final class Caps implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @Mixin
        private Which which;

        @Override
        public Integer call() {
            JsonNode a;
            try (Link link = which.open()) {
                a = link.audit();
            } catch (FleetException e) {
                return say(spec, e.fault());
            }
            long behind = 0;
            for (JsonNode s : a.get("servers")) {
                behind += s.get("acting").longValue() < a.get("in_force").longValue() ? 1 : 0;
            }
            PrintWriter out = spec.commandLine().getOut();
            out.println("revision " + a.get("in_force").longValue() + ", " + behind + " servers under an earlier one");
            for (JsonNode c : a.get("caps")) {
                long spoken = c.get("spoken").longValue();
                long cap = c.get("cap").longValue();
                out.println(c.get("tenant").textValue() + ": cap " + cap + ", floor of each place "
                        + c.get("floor").longValue()
                        + ", lent " + c.get("lent").longValue() + ", spoken for " + spoken
                        + (spoken <= cap && behind == 0 ? ", reached" : ", not reached yet"));
            }
            return 0;
        }
    }

    @Command(
            name = "explore",
            mixinStandardHelpOptions = true,
            description =
                    "Plays every order of events of a few servers over the real classes, and each guard switched off, which"
                            + " must be missed: stop, restart and race are the scenes. Exit code 1 if not.")
    static final class Explore implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @Option(
                names = "--without",
                description = "One guard only: ${COMPLETION-CANDIDATES}. WHOLE is not of this check.")
        private Guard without;

        @Option(names = "--most", defaultValue = "3000000", description = "States at the most (${DEFAULT-VALUE}).")
        private long most;

        @Override
        public Integer call() {
            PrintWriter out = spec.commandLine().getOut();
            boolean good = true;
            if (without != null && !Explorer.guards().containsKey(without)) {
                throw new ParameterException(spec.commandLine(), without + " is not of this check");
            }
            if (without != null) {
                Search.Seen seen = Explorer.explore(Explorer.guards().get(without), EnumSet.of(without), most);
                out.println("without " + without + ": "
                        + (seen.wrong().isEmpty()
                                ? "nothing wrong"
                                : seen.wrong().get(0)));
                return seen.wrong().isEmpty() ? 0 : 1;
            }
            for (Explorer.Scene scene : Explorer.Scene.values()) {
                Search.Seen seen = Explorer.explore(scene, Set.of(), most);
                out.println(scene + ": states " + seen.states() + ", steps " + seen.steps() + ", ends " + seen.ends()
                        + ", wrong " + seen.wrong());
                good &= seen.wrong().isEmpty();
            }
            for (Map.Entry<Guard, Explorer.Scene> g : Explorer.guards().entrySet()) {
                Search.Seen seen = Explorer.explore(g.getValue(), EnumSet.of(g.getKey()), most);
                boolean missed = !seen.wrong().isEmpty() && !seen.wrong().get(0).startsWith("given up");
                out.println(
                        "without " + g.getKey() + ": " + (missed ? seen.wrong().get(0) : "NOT MISSED"));
                good &= missed;
            }
            out.println("fleet explore: " + (good ? "good" : "BAD"));
            return good ? 0 : 1;
        }
    }
}
