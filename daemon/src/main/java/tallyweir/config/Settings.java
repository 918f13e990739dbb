package tallyweir.config;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import tallyweir.Choice;
import tallyweir.Effect;
import tallyweir.Halt;
import tallyweir.Outgoing;
import tallyweir.Said;
import tallyweir.ids.TenantId;
import tallyweir.ids.WorkloadId;

/** The settings object, decoded here for both fronts; the few of each part go straight into its call. */
public final class Settings {
    private final Tree all;
    private final Tree info;
    private final Tree rules;
    private final boolean pauses;
    private final boolean poorer;
    private final boolean says;

    public Settings(Tree all) {
        this(all, false, false, false);
    }

    private Settings(Tree all, boolean pauses, boolean poorer, boolean says) {
        this.all = all;
        info = all.in("FamilyInfo");
        rules = all.in("Rules");
        this.pauses = pauses;
        this.poorer = poorer;
        this.says = says;
    }

    /**
     * These settings with others over them, to be watched. What the front's protocol has no message for is left out
     * as here, unless the others change it: whoever watches wants to see what it would do.
     */
    Settings watched(Tree others) {
        others.only(
                "Callers",
                "Classes",
                "FamilyInfo",
                "OverShareWorth",
                "Permissions",
                "Projects",
                "RoundUs",
                "Rules",
                "Servers");
        Tree both = all.under(others);
        Tree family = both.in("FamilyInfo");
        others.in("FamilyInfo")
                .only(
                        "Below",
                        "CallsOut",
                        "ClassCalls",
                        "ClassSkipWorth",
                        "ClientsTotal",
                        "Cold",
                        "Cpus",
                        "EntryKb",
                        "Gauges",
                        "Halt",
                        "IdleUs",
                        "LingerUs",
                        "MemLimitKb",
                        "PassesDeadline",
                        "RunMemFactor",
                        "SaidForUs",
                        "ShareForUs",
                        "ShareSpanUs",
                        "Signal",
                        "TellsGone");
        others.in("Rules").only("AnswerSlackUs", "ColdFrom", "ColdUs", "DrainGraceUs", "FallMultiple", "FallUs");
        others.in("Permissions").only("CpuUsPerRequest", "CpuUsPerS", "MaxRetryAfterUs", "RetryAfter");
        others.in("Callers").only("MarksRetry");
        family.word("Halt", "off", "abort", "suspend");
        family.word("Signal", "off", "threshold", "window", "share_of");
        for (String name : List.of(
                "CallsOut",
                "ClientsTotal",
                "EntryKb",
                "IdleUs",
                "LingerUs",
                "MemLimitKb",
                "ShareForUs",
                "ShareSpanUs")) {
            family.least(name, 0);
        }
        family.least("RunMemFactor", 1);
        both.in("Rules").least("FallMultiple", 1);
        both.in("Rules").least("DrainGraceUs", 0);
        both.in("Permissions").least("MaxRetryAfterUs", 0);
        for (Tree c : both.each("Classes")) {
            c.text("Name");
            c.word("Effect", "safe", "keyed", "unsafe");
            c.least("TargetUs", 0);
            c.least("DeadlineUs", 0);
            c.least("RepeatWindowUs", 0);
        }
        Settings watched = new Settings(
                both, !family.same("Halt", info), !family.same("ClassSkipWorth", info), !family.same("Signal", info));
        for (WorkloadId id : workloads().keySet()) {
            if (!watched.workloads().containsKey(id)) {
                throw new BadSetting("watch.settings.Classes lacks the class " + id.value() + " that is in force");
            }
        }
        watched.startWatched(new Choice(Outgoing.nowhere(), 0, 0), false);
        watched.tellsPatience();
        watched.tellsGone();
        watched.marksTries();
        return watched;
    }

    public boolean sameAs(Settings other) {
        return other != null && all.equalTo(other.all);
    }

    /** Starts decisions that are only watched. */
    public void startWatched(Choice choice, boolean cold) {
        start(choice, cold, pauses, poorer, says);
    }

    /** Whether further tries bear a mark; where nothing is said, what the caller's try bears counts. */
    public boolean marksTries() {
        Tree callers = all.in("Callers");
        return !callers.has("MarksRetry") || callers.yes("MarksRetry");
    }

    /** Whether word comes of a caller that gave up; where nothing is said, it counts as it comes. */
    public boolean tellsGone() {
        return !info.has("TellsGone") || info.yes("TellsGone");
    }

    /** Hands the settings over, with what the front's protocol has no message for left out, and starts. */
    public void start(Choice choice, boolean cold, boolean pauses, boolean poorer, boolean says) {
        Halt halt = halt();
        choice.machine(
                info.whole("Cpus", 1, 1 << 16),
                rules.number("FallMultiple", 1),
                cold,
                rules.number("ColdFrom", 1),
                rules.time("ColdUs"),
                halt == Halt.SUSPEND && !pauses ? Halt.OFF : halt);
        choice.memory(info.number("MemLimitKb"), info.number("RunMemFactor", 1), info.number("EntryKb", 0));
        choice.below(info.number("CallsOut", 0), info.time("ShareSpanUs"), info.time("LingerUs") + 1);
        List<Tree> classes = all.each("Classes");
        for (int i = 0; i < classes.size(); i++) {
            Tree c = classes.get(i);
            choice.workload(
                    new WorkloadId(c.text("Name", "")),
                    effect(c),
                    c.time("TargetUs"),
                    c.time("DeadlineUs"),
                    c.number("Worth", 1),
                    c.number("LateValue", 0),
                    c.time("RepeatWindowUs") + 1,
                    info.yesAt("ClassCalls", i),
                    poorer ? info.numberAt("ClassSkipWorth", i) : 0);
        }
        for (Tree t : all.each("Projects")) {
            choice.tenant(new TenantId(t.text("Name", "")), t.number("QuotaPerS", 0), (int) all.number("Servers", 1));
        }
        choice.duties(
                (long) Math.ceil(all.number("RoundUs", 0) / 100),
                rules.time("DrainGraceUs"),
                all.number("OverShareWorth", 1));
        Tree permissions = all.in("Permissions");
        choice.callers(
                says ? said() : Said.OFF,
                shareFor(),
                permissions.yes("RetryAfter") ? permissions.time("MaxRetryAfterUs") : 0);
        choice.connections(idleMost());
        choice.start();
    }

    /** By workload, after how long a query is late. */
    public Map<WorkloadId, Long> expected() {
        Map<WorkloadId, Long> all = new HashMap<>();
        this.all.each("Classes").forEach(c -> all.put(new WorkloadId(c.text("Name", "")), c.time("TargetUs")));
        return all;
    }

    public boolean cold() {
        return info.yes("Cold");
    }

    public long shareFor() {
        return info.time("ShareForUs");
    }

    public long idleMost() {
        return info.time("IdleUs");
    }

    public long answerSlack() {
        return rules.time("AnswerSlackUs");
    }

    public boolean tellsPatience() {
        return info.yes("PassesDeadline");
    }

    public Set<String> tenants() {
        return all.each("Projects").stream().map(t -> t.text("Name", "")).collect(Collectors.toSet());
    }

    /** Whether any workload may call what lies below. */
    public boolean callsBelow() {
        return IntStream.range(0, all.each("Classes").size()).anyMatch(i -> info.yesAt("ClassCalls", i));
    }

    public Map<WorkloadId, Effect> workloads() {
        Map<WorkloadId, Effect> effects = new HashMap<>();
        all.each("Classes").forEach(c -> effects.put(new WorkloadId(c.text("Name")), effect(c)));
        return effects;
    }

    /** The longest time that a caller may be told to keep off, 0 where it may not be told. */
    public long keepOffMost() {
        Tree permissions = all.in("Permissions");
        return permissions.yes("RetryAfter") ? permissions.time("MaxRetryAfterUs") : 0;
    }

    /** The longest time that any workload's caller waits in all. */
    public long longestHard() {
        return all.each("Classes").stream()
                .mapToLong(c -> c.time("DeadlineUs"))
                .max()
                .orElse(0);
    }

    /** Where a gauge stands among those that come, -1 if it does not come. */
    public int gauge(String name) {
        return info.texts("Gauges").indexOf(name);
    }

    private static Effect effect(Tree workload) {
        return switch (workload.text("Effect", "")) {
            case "safe" -> Effect.HARMLESS;
            case "keyed" -> Effect.STAMPED;
            default -> Effect.ONE_SHOT;
        };
    }

    private Halt halt() {
        return switch (info.text("Halt", "off")) {
            case "abort" -> Halt.ABORT;
            case "suspend" -> Halt.SUSPEND;
            default -> Halt.OFF;
        };
    }

    private Said said() {
        return info.text("Signal", "off").equals("threshold") ? Said.THRESHOLD : Said.OFF;
    }
}
