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
import tallyweir.Model.ModelQuery;

/** Generated sequences of events: {@link Choice} must do nothing that the plain model of the rules forbids. */
class RulesTest {
    record Step(int kind, int index, long duration, double size) {}

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
            @ForAll CancellationMode cancellation,
            @ForAll LoadAdvice loadAdvice,
            @ForAll boolean smallCallShare,
            @ForAll boolean sharesResults,
            @ForAll long seed) {
        Model m = new Model(seed, cold, cancellation, loadAdvice, smallCallShare ? 0.4 : 6, sharesResults ? 10_000 : 0);
        for (Step s : steps) {
            step(m, s);
        }
        m.pass(50_000, 0.5, 2);
        assertEquals(List.of(), m.violations);
        assertTrue(m.queries.values().stream().allMatch(q -> q.answered || q.state.equals("over")));
    }

    private void step(Model m, Step s) {
        if (m.now >= m.stopDeadline - Model.POLL_INTERVAL_TENTHS_MS) {
            return;
        }
        if (s.kind < 35) {
            ModelQuery earlier = s.index % 3 == 0 ? repeatable(m, s.index) : null;
            int workload =
                    earlier == null ? s.index % 4 : List.of(Model.WORKLOADS).indexOf(earlier.workload);
            m.read(workload, s.duration, s.index % 5 == 0 ? 0 : s.duration * 12 + 1, s.size, s.index % 7 == 0, earlier);
        } else if (s.kind < 50) {
            pick(m.inState("running"), s)
                    .ifPresent(q -> m.runEnded(q, s.index % 9 == 0 ? Outcome.ERRORED : Outcome.COMPLETED));
        } else if (s.kind < 58) {
            pick(m.inState("running"), s).ifPresent(m::blockOnCall);
        } else if (s.kind < 68) {
            pick(m.inState("calling"), s).ifPresent(q -> m.callEnded(q, Outcome.values()[s.index % 6]));
        } else if (s.kind < 72) {
            pick(m.inState("blocked", "calling"), s)
                    .filter(q -> q.answered)
                    .ifPresent(q -> m.runEnded(q, Outcome.RECALLED));
        } else if (s.kind < 75) {
            pick(m.inState("waiting for replay"), s).ifPresent(q -> m.runEnded(q, Outcome.COMPLETED));
        } else if (s.kind < 78) {
            pick(m.inState("held", "running", "blocked", "calling", "waiting for replay"), s)
                    .filter(q -> !q.answered)
                    .ifPresent(m::disconnect);
        } else if (s.kind < 80) {
            pick(m.inState("running"), s)
                    .filter(q -> m.cancellation != CancellationMode.OFF && (q.answered || m.isHarmless(q)))
                    .ifPresent(q -> m.runEnded(q, Outcome.RECALLED));
        } else if (s.kind == 80 && s.index < 100 && m.drainStartedAt < 0) {
            m.drain(30_000 + s.duration);
        } else {
            m.pass(s.duration, s.index / 999.0, s.index % 9);
        }
    }

    /** Only a query that the wire would name as the earlier one: a retained one that is held or has run. */
    private ModelQuery repeatable(Model m, int pick) {
        List<ModelQuery> all = m.queries.values().stream()
                .filter(q -> m.retainedUntil.containsKey(q.id) && (q.hasRun || q.state.equals("held")))
                .toList();
        return all.isEmpty() ? null : all.get(pick % all.size());
    }

    private java.util.Optional<ModelQuery> pick(List<ModelQuery> candidates, Step s) {
        return candidates.isEmpty()
                ? java.util.Optional.empty()
                : java.util.Optional.of(candidates.get(s.index % candidates.size()));
    }
}
