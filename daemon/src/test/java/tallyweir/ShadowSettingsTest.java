package tallyweir;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.stream.Collectors;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import tallyweir.config.Config;
import tallyweir.config.InvalidSettingException;
import tallyweir.config.OperatorSettings;
import tallyweir.config.Settings;

/** Shadow settings beside those in force: differences are counted, and nothing else is affected. */
class ShadowSettingsTest {
    private static final String SHADOW_SETTINGS = """
            {"Callers":{"MarksRetry":false},"Rules":{"FallMultiple":5},"Permissions":{"MaxRetryAfterUs":200000},
             "FamilyInfo":{"PassesDeadline":false,"TellsGone":false,"Signal":"threshold","Halt":"suspend","CallsOut":0.05,
              "ClassSkipWorth":[0.3,0,0],"IdleUs":3000000,"MemLimitKb":1500}}""";

    private static Settings parseShadow(String shadowSettings) {
        return OperatorSettings.parse(
                        (shadowSettings == null ? "{}" : "{\"watch\":{\"settings\":" + shadowSettings + "}}")
                                .getBytes(UTF_8))
                .shadowSettings(Config.parse(Simulation.CONFIG.getBytes(UTF_8), Map.of()).settings);
    }

    private static Simulation runDay(String shadowSettings, long seed) {
        Simulation r = new Simulation();
        r.backend.setShadowSettings(parseShadow(shadowSettings));
        r.boot();
        runSteps(r, new SplittableRandom(seed));
        r.advance(60_000);
        return r;
    }

    private static void runSteps(Simulation r, SplittableRandom random) {
        for (int i = 0; i < 160; i++) {
            BackendTest.step(r, random);
            r.check();
            r.closePending();
        }
    }

    private static Map<String, Long> counts(Simulation r) {
        return r.backend.counters().all().entrySet().stream()
                .filter(e -> e.getKey().startsWith("watch_"))
                .collect(Collectors.toMap(e -> e.getKey().substring(6), Map.Entry::getValue));
    }

    /** Guards against a shadow that sends, answers or retains anything: output and all other counters are the same without it. */
    @Property(tries = 60, seed = "20261203", shrinking = ShrinkingMode.OFF)
    void shadowSettingsHaveNoEffect(@ForAll long seed) {
        Simulation without = runDay(null, seed);
        Simulation with = runDay(SHADOW_SETTINGS, seed);
        assertEquals(without.log, with.log);
        assertEquals(Map.of(), counts(without));
        assertFalse(counts(with).isEmpty());
        Map<String, Long> rest = new TreeMap<>(with.backend.counters().all());
        rest.keySet().removeIf(name -> name.startsWith("watch_"));
        assertEquals(without.backend.counters().all(), rest);
    }

    @Property(tries = 60, seed = "20261204", shrinking = ShrinkingMode.OFF)
    void shadowEqualToTheSettingsInForceCountsNoDifference(@ForAll long seed) {
        String all = Simulation.CONFIG.substring(Simulation.CONFIG.indexOf("\"settings\":") + 11);
        for (String same : List.of("{}", all.substring(0, all.length() - 1))) {
            Map<String, Long> counts = counts(runDay(same, seed));
            assertEquals(12, counts.size());
            assertTrue(counts.values().stream().allMatch(n -> n == 0), "" + counts);
        }
    }

    @ParameterizedTest
    @CsvSource(delimiter = ';', textBlock = """
            defer;  {"FamilyInfo":{"MemLimitKb":300}}
            take;   {"FamilyInfo":{"MemLimitKb":90000,"Cpus":64}}
            told;   {"Permissions":{"MaxRetryAfterUs":100000}}
            fail;   {"FamilyInfo":{"CallsOut":0.01}}
            run;    {"FamilyInfo":{"Cpus":1}}
            stop;   {"FamilyInfo":{"Halt":"off"}}
            stop;   {"FamilyInfo":{"TellsGone":false}}
            take;   {"FamilyInfo":{"PassesDeadline":false}}
            call;   {"FamilyInfo":{"CallsOut":0.05}}
            poorer; {"FamilyInfo":{"CallsOut":0.05,"ClassSkipWorth":[0.5,0.5,0.5]}}
            keep;   {"FamilyInfo":{"ShareForUs":0}}
            reuse;  {"FamilyInfo":{"MemLimitKb":300}}
            say;    {"FamilyInfo":{"Signal":"threshold"}}
            idle;   {"FamilyInfo":{"IdleUs":2000000}}
            """)
    void eachKindIsCounted(String kind, String shadowSettings) {
        long n = 0;
        for (long seed = 1; seed <= 60 && n == 0; seed++) {
            n = counts(runDay(shadowSettings, seed)).get(kind);
        }
        assertTrue(n > 0, kind);
    }

    /**
     * Guards against counting a run twice that the shadow starts later, and against a query that ended under the settings in force
     * but still occupies a core of the shadow.
     */
    @Test
    void aDifferenceCountsOnceAndTheQueryEndsForBoth() {
        Simulation r = new Simulation();
        r.backend.setShadowSettings(parseShadow("{\"FamilyInfo\":{\"Cpus\":1}}"));
        r.boot();
        int conn = r.openCaller();
        for (int i = 0; i < 3; i++) {
            String one = r.request(conn, "c", "b", 20_000, null).job;
            String two = r.request(conn, "c", "b", 20_000, null).job;
            assertEquals(i + 1, counts(r).get("run"), "with one core the second query would wait");
            r.endRun(i == 0 ? one : two, "good", "made");
            r.endRun(i == 0 ? two : one, "good", "made");
        }
        assertEquals(3, counts(r).get("run"));
    }

    /** A deferred retry gets the advice not to try elsewhere; where callers do not mark retries, it does not. */
    @Test
    void shadowThatExpectsNoRetryMarksIgnoresThem() {
        Simulation r = new Simulation();
        r.backend.setShadowSettings(parseShadow("{\"Callers\":{\"MarksRetry\":false}}"));
        r.boot();
        r.request(r.openCaller(), "c", "b", 20_000, null);
        r.advance(3_000);
        r.endRun(r.jobs.keySet().iterator().next(), "good", "made");
        r.request(r.openCaller(), "c", "b", 20_000, null);
        r.request(r.openCaller(), "c", "b", 2_000, null, "HTTP_ATTEMPT_AGAIN", "1");
        assertEquals(1, counts(r).get("told"), "" + counts(r));
    }

    /** Guards against a shadow that a reload sets during the notice to shut down and that runs queries past the grace. */
    @Test
    void shadowSetDuringADrainDrainsToo() {
        Simulation r = new Simulation();
        r.boot();
        r.backend.drain(r.now);
        r.advance(5_000);
        r.backend.setShadowSettings(parseShadow("{}"));
        r.advance(6_000);
        r.request(r.openCaller(), "c", "b", 15_000, null);
        assertTrue(counts(r).values().stream().allMatch(n -> n == 0), "" + counts(r));
    }

    @Test
    void shadowSettingsCanBeSetAndRemovedAtAnyTime() {
        Simulation r = new Simulation();
        SplittableRandom random = new SplittableRandom(5);
        r.boot();
        runSteps(r, random);
        assertEquals(Map.of(), counts(r));
        r.backend.setShadowSettings(parseShadow(SHADOW_SETTINGS));
        runSteps(r, random);
        assertTrue(counts(r).values().stream().anyMatch(n -> n > 0), "" + counts(r));
        r.backend.setShadowSettings(parseShadow("{}"));
        assertTrue(counts(r).values().stream().allMatch(n -> n == 0), "new shadow settings start with counts of zero");
        r.backend.setShadowSettings(null);
        assertEquals(Map.of(), counts(r));
        assertEquals(0, r.counter("faults"));
    }

    @ParameterizedTest
    @CsvSource(delimiter = ';', textBlock = """
            {"FamilyInfo":{"Cpu":2}};                 watch.settings.FamilyInfo.Cpu is unknown
            {"FamilyInfo":{"Halt":"pause"}};          watch.settings.FamilyInfo.Halt is 'pause'
            {"FamilyInfo":{"CallsOut":-1}};           watch.settings.FamilyInfo.CallsOut is -1
            {"FamilyInfo":{"TellsGone":"no"}};        watch.settings.FamilyInfo.TellsGone is not true or false
            {"Classes":[{"Name":"c","Effect":"write"}]}; watch.settings.Classes[0].Effect is 'write'
            {"Classes":[{"Name":"c","Effect":"safe"}]};  watch.settings.Classes lacks the class
            """)
    void aFaultyKeyIsNamed(String shadowSettings, String expected) {
        String message = assertThrows(InvalidSettingException.class, () -> parseShadow(shadowSettings))
                .getMessage();
        assertTrue(message.contains(expected), message);
    }
}
