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

/**
 * The platform's settings object, decoded here for both the server and the wire host. Groups of settings are handed to the
 * methods of {@link Choice} that configure its parts. All times are in tenths of a millisecond.
 */
public final class Settings {
    private final Tree all;
    private final Tree info;
    private final Tree rules;
    private final boolean pauses;
    private final boolean poorer;
    private final boolean says;

    /** Settings in force: the flags that only shadow settings use are off. */
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
     * Shadow settings: these with the given ones over them, for decisions that are only compared with those in force. A
     * feature for which the server's protocol has no message stays off as it is here, unless the given settings change it:
     * the comparison is then meant to show what it would do.
     *
     * @throws BadSetting if a key is unknown or has an invalid value, or if a class in force is missing
     */
    Settings watched(Tree overrides) {
        overrides.only(
                "Callers",
                "Classes",
                "FamilyInfo",
                "OverShareWorth",
                "Permissions",
                "Projects",
                "RoundUs",
                "Rules",
                "Servers");
        Tree merged = all.under(overrides);
        Tree family = merged.in("FamilyInfo");
        overrides
                .in("FamilyInfo")
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
        overrides.in("Rules").only("AnswerSlackUs", "ColdFrom", "ColdUs", "DrainGraceUs", "FallMultiple", "FallUs");
        overrides.in("Permissions").only("CpuUsPerRequest", "CpuUsPerS", "MaxRetryAfterUs", "RetryAfter");
        overrides.in("Callers").only("MarksRetry");
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
        merged.in("Rules").least("FallMultiple", 1);
        merged.in("Rules").least("DrainGraceUs", 0);
        merged.in("Permissions").least("MaxRetryAfterUs", 0);
        for (Tree c : merged.each("Classes")) {
            c.text("Name");
            c.word("Effect", "safe", "keyed", "unsafe");
            c.least("TargetUs", 0);
            c.least("DeadlineUs", 0);
            c.least("RepeatWindowUs", 0);
        }
        Settings shadow = new Settings(
                merged, !family.same("Halt", info), !family.same("ClassSkipWorth", info), !family.same("Signal", info));
        for (WorkloadId id : workloads().keySet()) {
            if (!shadow.workloads().containsKey(id)) {
                throw new BadSetting("watch.settings.Classes lacks the class " + id.value() + " that is in force");
            }
        }
        shadow.startWatched(new Choice(Outgoing.nowhere(), 0, 0), false);
        shadow.tellsPatience();
        shadow.tellsGone();
        shadow.marksTries();
        return shadow;
    }

    /** Whether both have the same content; false for null. */
    public boolean sameAs(Settings other) {
        return other != null && all.equalTo(other.all);
    }

    /** Configures and starts shadow decisions. */
    public void startWatched(Choice choice, boolean cold) {
        start(choice, cold, pauses, poorer, says);
    }

    /** Whether the shadow decisions see that a query is a retry; true if the setting is absent. */
    public boolean marksTries() {
        Tree callers = all.in("Callers");
        return !callers.has("MarksRetry") || callers.yes("MarksRetry");
    }

    /** Whether the shadow decisions see that a caller has disconnected; true if the setting is absent. */
    public boolean tellsGone() {
        return !info.has("TellsGone") || info.yes("TellsGone");
    }

    /**
     * Configures and starts the decisions. Features for which the protocol of the server or wire host has no message are off.
     *
     * @param cold whether the server starts cold and allows less concurrency at first
     * @param pauses whether a run can be suspended and continued
     * @param poorer whether a query can get a degraded answer
     * @param says whether load can be advertised to callers
     */
    public void start(Choice choice, boolean cold, boolean pauses, boolean poorer, boolean says) {
        Halt mode = halt();
        choice.machine(
                info.whole("Cpus", 1, 1 << 16),
                rules.number("FallMultiple", 1),
                cold,
                rules.number("ColdFrom", 1),
                rules.time("ColdUs"),
                mode == Halt.SUSPEND && !pauses ? Halt.OFF : mode);
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

    /** The expected time of each workload, after which a query is late. */
    public Map<WorkloadId, Long> expected() {
        Map<WorkloadId, Long> times = new HashMap<>();
        this.all.each("Classes").forEach(c -> times.put(new WorkloadId(c.text("Name", "")), c.time("TargetUs")));
        return times;
    }

    /** Whether the server starts cold. */
    public boolean cold() {
        return info.yes("Cold");
    }

    /** How long a result is cached for repeats of a harmless query on the same resource, 0 for not at all. */
    public long shareFor() {
        return info.time("ShareForUs");
    }

    /** The maximum time that a connection may stay idle. */
    public long idleMost() {
        return info.time("IdleUs");
    }

    /** The time reserved for an answer to reach its caller. */
    public long answerSlack() {
        return rules.time("AnswerSlackUs");
    }

    /** Whether queries carry the time that their callers still wait. */
    public boolean tellsPatience() {
        return info.yes("PassesDeadline");
    }

    /** The names of all tenants. */
    public Set<String> tenants() {
        return all.each("Projects").stream().map(t -> t.text("Name", "")).collect(Collectors.toSet());
    }

    /** Whether any workload may call the store. */
    public boolean callsBelow() {
        return IntStream.range(0, all.each("Classes").size()).anyMatch(i -> info.yesAt("ClassCalls", i));
    }

    /** All workloads, each with the effect of its queries. */
    public Map<WorkloadId, Effect> workloads() {
        Map<WorkloadId, Effect> effects = new HashMap<>();
        all.each("Classes").forEach(c -> effects.put(new WorkloadId(c.text("Name")), effect(c)));
        return effects;
    }

    /** The maximum delay that a caller may be advised to wait before a retry, 0 if it may not be advised. */
    public long keepOffMost() {
        Tree permissions = all.in("Permissions");
        return permissions.yes("RetryAfter") ? permissions.time("MaxRetryAfterUs") : 0;
    }

    /** The maximum hard limit of all workloads, 0 without workloads. */
    public long longestHard() {
        return all.each("Classes").stream()
                .mapToLong(c -> c.time("DeadlineUs"))
                .max()
                .orElse(0);
    }

    /** The index of a gauge in the list that the kernel reports, -1 if it does not report it. */
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
