package tallyweir.config;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import tallyweir.CancellationMode;
import tallyweir.Choice;
import tallyweir.Effect;
import tallyweir.LoadAdvice;
import tallyweir.Outgoing;
import tallyweir.ids.TenantId;
import tallyweir.ids.WorkloadId;

/**
 * The platform's settings object, decoded here for both the server and the wire host. Groups of settings are handed to the
 * methods of {@link Choice} that configure its parts. All times are in tenths of a millisecond.
 */
public final class Settings {
    private final SettingsObject root;
    private final SettingsObject info;
    private final SettingsObject rules;
    private final boolean canSuspend;
    private final boolean canDegrade;
    private final boolean canAdvertise;

    /** Settings in force: the flags that only shadow settings use are off. */
    public Settings(SettingsObject root) {
        this(root, false, false, false);
    }

    private Settings(SettingsObject root, boolean canSuspend, boolean canDegrade, boolean canAdvertise) {
        this.root = root;
        info = root.child("FamilyInfo");
        rules = root.child("Rules");
        this.canSuspend = canSuspend;
        this.canDegrade = canDegrade;
        this.canAdvertise = canAdvertise;
    }

    /**
     * Shadow settings: these with the given ones over them, for decisions that are only compared with those in force. A
     * feature for which the server's protocol has no message stays off as it is here, unless the given settings change it:
     * the comparison is then meant to show what it would do.
     *
     * @throws InvalidSettingException if a key is unknown or has an invalid value, or if a class in force is missing
     */
    Settings withOverrides(SettingsObject overrides) {
        overrides.rejectUnknownKeys(
                "Callers",
                "Classes",
                "FamilyInfo",
                "OverShareWorth",
                "Permissions",
                "Projects",
                "RoundUs",
                "Rules",
                "Servers");
        SettingsObject merged = root.overriddenBy(overrides);
        SettingsObject family = merged.child("FamilyInfo");
        overrides
                .child("FamilyInfo")
                .rejectUnknownKeys(
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
        overrides
                .child("Rules")
                .rejectUnknownKeys("AnswerSlackUs", "ColdFrom", "ColdUs", "DrainGraceUs", "FallMultiple", "FallUs");
        overrides
                .child("Permissions")
                .rejectUnknownKeys("CpuUsPerRequest", "CpuUsPerS", "MaxRetryAfterUs", "RetryAfter");
        overrides.child("Callers").rejectUnknownKeys("MarksRetry");
        family.requireOneOf("Halt", "off", "abort", "suspend");
        family.requireOneOf("Signal", "off", "threshold", "window", "share_of");
        for (String name : List.of(
                "CallsOut",
                "ClientsTotal",
                "EntryKb",
                "IdleUs",
                "LingerUs",
                "MemLimitKb",
                "ShareForUs",
                "ShareSpanUs")) {
            family.requireAtLeast(name, 0);
        }
        family.requireAtLeast("RunMemFactor", 1);
        merged.child("Rules").requireAtLeast("FallMultiple", 1);
        merged.child("Rules").requireAtLeast("DrainGraceUs", 0);
        merged.child("Permissions").requireAtLeast("MaxRetryAfterUs", 0);
        for (SettingsObject c : merged.children("Classes")) {
            c.string("Name");
            c.requireOneOf("Effect", "safe", "keyed", "unsafe");
            c.requireAtLeast("TargetUs", 0);
            c.requireAtLeast("DeadlineUs", 0);
            c.requireAtLeast("RepeatWindowUs", 0);
        }
        Settings shadow = new Settings(
                merged,
                !family.hasSameValue("Halt", info),
                !family.hasSameValue("ClassSkipWorth", info),
                !family.hasSameValue("Signal", info));
        for (WorkloadId id : effects().keySet()) {
            if (!shadow.effects().containsKey(id)) {
                throw new InvalidSettingException(
                        "watch.settings.Classes lacks the class " + id.value() + " that is in force");
            }
        }
        shadow.startShadow(new Choice(Outgoing.ignoring(), 0, 0), false);
        shadow.passesTimeout();
        shadow.reportsDisconnects();
        shadow.marksRetries();
        return shadow;
    }

    /** Whether both have the same content; false for null. */
    public boolean sameAs(Settings other) {
        return other != null && root.equalTo(other.root);
    }

    /** Configures and starts shadow decisions. */
    public void startShadow(Choice choice, boolean cold) {
        start(choice, cold, canSuspend, canDegrade, canAdvertise);
    }

    /** Whether the shadow decisions see that a query is a retry; true if the setting is absent. */
    public boolean marksRetries() {
        SettingsObject callers = root.child("Callers");
        return !callers.has("MarksRetry") || callers.isTrue("MarksRetry");
    }

    /** Whether the shadow decisions see that a caller has disconnected; true if the setting is absent. */
    public boolean reportsDisconnects() {
        return !info.has("TellsGone") || info.isTrue("TellsGone");
    }

    /**
     * Configures and starts the decisions. Features for which the protocol of the server or wire host has no message are off.
     *
     * @param cold whether the server starts cold and allows less concurrency at first
     * @param canSuspend whether a run can be suspended and continued
     * @param canDegrade whether a query can get a degraded answer
     * @param canAdvertise whether load can be advertised to callers
     */
    public void start(Choice choice, boolean cold, boolean canSuspend, boolean canDegrade, boolean canAdvertise) {
        CancellationMode mode = cancellationMode();
        choice.configureMachine(
                info.integer("Cpus", 1, 1 << 16),
                rules.number("FallMultiple", 1),
                cold,
                rules.number("ColdFrom", 1),
                rules.timeTenthsMs("ColdUs"),
                mode == CancellationMode.SUSPEND && !canSuspend ? CancellationMode.OFF : mode);
        choice.configureMemory(info.number("MemLimitKb"), info.number("RunMemFactor", 1), info.number("EntryKb", 0));
        choice.configureCalls(
                info.number("CallsOut", 0), info.timeTenthsMs("ShareSpanUs"), info.timeTenthsMs("LingerUs") + 1);
        List<SettingsObject> classes = root.children("Classes");
        for (int i = 0; i < classes.size(); i++) {
            SettingsObject c = classes.get(i);
            choice.addWorkload(
                    new WorkloadId(c.string("Name", "")),
                    effect(c),
                    c.timeTenthsMs("TargetUs"),
                    c.timeTenthsMs("DeadlineUs"),
                    c.number("Worth", 1),
                    c.number("LateValue", 0),
                    c.timeTenthsMs("RepeatWindowUs") + 1,
                    info.isTrueAt("ClassCalls", i),
                    canDegrade ? info.numberAt("ClassSkipWorth", i) : 0);
        }
        for (SettingsObject t : root.children("Projects")) {
            choice.addTenant(
                    new TenantId(t.string("Name", "")), t.number("QuotaPerS", 0), (int) root.number("Servers", 1));
        }
        choice.configureAnswers(
                (long) Math.ceil(root.number("RoundUs", 0) / 100),
                rules.timeTenthsMs("DrainGraceUs"),
                root.number("OverShareWorth", 1));
        SettingsObject permissions = root.child("Permissions");
        choice.configureCallers(
                canAdvertise ? loadAdvice() : LoadAdvice.OFF,
                resultCacheDuration(),
                permissions.isTrue("RetryAfter") ? permissions.timeTenthsMs("MaxRetryAfterUs") : 0);
        choice.configureConnections(maxIdleDuration());
        choice.start();
    }

    /** The expected time of each workload, after which a query is late. */
    public Map<WorkloadId, Long> expectedTimes() {
        Map<WorkloadId, Long> times = new HashMap<>();
        this.root
                .children("Classes")
                .forEach(c -> times.put(new WorkloadId(c.string("Name", "")), c.timeTenthsMs("TargetUs")));
        return times;
    }

    /** Whether the server starts cold. */
    public boolean startsCold() {
        return info.isTrue("Cold");
    }

    /** How long a result is cached for repeats of a harmless query on the same resource, 0 for not at all. */
    public long resultCacheDuration() {
        return info.timeTenthsMs("ShareForUs");
    }

    /** The maximum time that a connection may stay idle. */
    public long maxIdleDuration() {
        return info.timeTenthsMs("IdleUs");
    }

    /** The time reserved for an answer to reach its caller. */
    public long answerSlack() {
        return rules.timeTenthsMs("AnswerSlackUs");
    }

    /** Whether queries carry the time that their callers still wait. */
    public boolean passesTimeout() {
        return info.isTrue("PassesDeadline");
    }

    /** The names of all tenants. */
    public Set<String> tenants() {
        return root.children("Projects").stream().map(t -> t.string("Name", "")).collect(Collectors.toSet());
    }

    /** Whether any workload may call the store. */
    public boolean callsStore() {
        return IntStream.range(0, root.children("Classes").size()).anyMatch(i -> info.isTrueAt("ClassCalls", i));
    }

    /** All workloads, each with the effect of its queries. */
    public Map<WorkloadId, Effect> effects() {
        Map<WorkloadId, Effect> effects = new HashMap<>();
        root.children("Classes").forEach(c -> effects.put(new WorkloadId(c.string("Name")), effect(c)));
        return effects;
    }

    /** The maximum delay that a caller may be advised to wait before a retry, 0 if it may not be advised. */
    public long maxRetryAfter() {
        SettingsObject permissions = root.child("Permissions");
        return permissions.isTrue("RetryAfter") ? permissions.timeTenthsMs("MaxRetryAfterUs") : 0;
    }

    /** The maximum hard limit of all workloads, 0 without workloads. */
    public long maxHardLimit() {
        return root.children("Classes").stream()
                .mapToLong(c -> c.timeTenthsMs("DeadlineUs"))
                .max()
                .orElse(0);
    }

    /** The index of a gauge in the list that the kernel reports, -1 if it does not report it. */
    public int gaugeIndex(String name) {
        return info.strings("Gauges").indexOf(name);
    }

    private static Effect effect(SettingsObject workload) {
        return switch (workload.string("Effect", "")) {
            case "safe" -> Effect.HARMLESS;
            case "keyed" -> Effect.STAMPED;
            default -> Effect.ONE_SHOT;
        };
    }

    /** Whether the kernel can end a run before it completes, so that its query may run again. */
    public boolean canCancelRuns() {
        return cancellationMode() == CancellationMode.ABORT;
    }

    private CancellationMode cancellationMode() {
        return switch (info.string("Halt", "off")) {
            case "abort" -> CancellationMode.ABORT;
            case "suspend" -> CancellationMode.SUSPEND;
            default -> CancellationMode.OFF;
        };
    }

    private LoadAdvice loadAdvice() {
        return info.string("Signal", "off").equals("threshold") ? LoadAdvice.THRESHOLD : LoadAdvice.OFF;
    }
}
