package tallyweir;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;
import tallyweir.Model.Seen;

/** Generated sequences of events: {@link Choice} must do nothing that the plain model of the rules forbids. */
class RulesTest {
    record Step(int kind, int pick, long span, double size) {}

    @Provide
    Arbitrary<List<Step>> steps() {
        return Combinators.combine(
                        Arbitraries.integers().between(0, 99),
                        Arbitraries.integers().between(0, 999),
                        Arbitraries.longs().between(0, 3_000),
                        Arbitraries.doubles().between(5, 60))
                .as(Step::new)
                .list()
                .ofMinSize(40)
                .ofMaxSize(250);
    }

    @Property(tries = 400, seed = "20261201", shrinking = ShrinkingMode.OFF)
    void keepsTheRules(
            @ForAll("steps") List<Step> steps,
            @ForAll boolean cold,
            @ForAll Halt halt,
            @ForAll Said said,
            @ForAll boolean tightBelow,
            @ForAll boolean shares,
            @ForAll long seed) {
        Model m = new Model(seed, cold, halt, said, tightBelow ? 0.4 : 6, shares ? 10_000 : 0);
        for (Step s : steps) {
            step(m, s);
        }
        m.pass(50_000, 0.5, 2);
        assertEquals(List.of(), m.wrong);
        assertTrue(m.seen.values().stream().allMatch(q -> q.answered || q.place.equals("over")));
    }

    private void step(Model m, Step s) {
        if (m.now >= m.stopAt - Model.ROUND) {
            return;
        }
        if (s.kind < 35) {
            Seen earlier = s.pick % 3 == 0 ? forerunner(m, s.pick) : null;
            int workload = earlier == null ? s.pick % 4 : List.of(Model.NAMES).indexOf(earlier.workload);
            m.read(workload, s.span, s.pick % 5 == 0 ? 0 : s.span * 12 + 1, s.size, s.pick % 7 == 0, earlier);
        } else if (s.kind < 50) {
            pick(m.at("running"), s)
                    .ifPresent(q -> m.settled(q, s.pick % 9 == 0 ? Outcome.ERRORED : Outcome.COMPLETED));
        } else if (s.kind < 58) {
            pick(m.at("running"), s).ifPresent(m::needs);
        } else if (s.kind < 68) {
            pick(m.at("calling"), s).ifPresent(q -> m.called(q, Outcome.values()[s.pick % 6]));
        } else if (s.kind < 72) {
            pick(m.at("blocked", "calling"), s).filter(q -> q.answered).ifPresent(q -> m.settled(q, Outcome.RECALLED));
        } else if (s.kind < 75) {
            pick(m.at("waiting for replay"), s).ifPresent(q -> m.settled(q, Outcome.COMPLETED));
        } else if (s.kind < 78) {
            pick(m.at("held", "running", "blocked", "calling", "waiting for replay"), s)
                    .filter(q -> !q.answered)
                    .ifPresent(m::gone);
        } else if (s.kind < 80) {
            pick(m.at("running"), s)
                    .filter(q -> m.halt != Halt.OFF && (q.answered || m.harmless(q)))
                    .ifPresent(q -> m.settled(q, Outcome.RECALLED));
        } else if (s.kind == 80 && s.pick < 100 && m.drainAt < 0) {
            m.drain(30_000 + s.span);
        } else {
            m.pass(s.span, s.pick / 999.0, s.pick % 9);
        }
    }

    /** Only a query that the wire would name as the earlier one: a retained one that is held or has run. */
    private Seen forerunner(Model m, int pick) {
        List<Seen> all = m.seen.values().stream()
                .filter(q -> m.entries.containsKey(q.id) && (q.ran || q.place.equals("held")))
                .toList();
        return all.isEmpty() ? null : all.get(pick % all.size());
    }

    private java.util.Optional<Seen> pick(List<Seen> candidates, Step s) {
        return candidates.isEmpty()
                ? java.util.Optional.empty()
                : java.util.Optional.of(candidates.get(s.pick % candidates.size()));
    }
}
