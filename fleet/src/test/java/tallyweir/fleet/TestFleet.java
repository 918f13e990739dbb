package tallyweir.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import tallyweir.fleet.table.Change;
import tallyweir.fleet.table.Key;
import tallyweir.fleet.table.Kind;
import tallyweir.fleet.table.Table;
import tallyweir.fleet.table.Value;

/** A replicated state with servers that apply the revision in force and answer whether they can apply a proposed one. */
final class TestFleet {
    static final long LEASE = 1_000;
    static final long MAX_LAG = 2_000;
    static final long PROBATION = 3_000;

    private final List<Incarnation> incarnations = new ArrayList<>();
    private final List<Long> numbers = new ArrayList<>();
    private final long[] ended;
    private final long[] bad;
    private Predicate<Table> accepts = table -> true;
    private State state;
    private long now;

    TestFleet(int servers, Set<Guard> without) {
        this(
                servers,
                without,
                new FleetSettings(1, LEASE, 500, 10 * LEASE, MAX_LAG, 0, 0.5, 0.25, 9, 0, PROBATION, 2, 0.5));
    }

    TestFleet(int servers, Set<Guard> without, FleetSettings settings) {
        state = new State(without);
        ended = new long[servers];
        bad = new long[servers];
        state.apply(new Command.CreateFleet("f", settings));
        for (int i = 0; i < servers; i++) {
            Answer answer = state.apply(new Command.Join("f", server(i), "at" + i, 1));
            incarnations.add(((Answer.Joined) answer).incarnation());
            numbers.add(0L);
            report(i);
        }
    }

    State state() {
        return state;
    }

    private static ServerId server(int i) {
        return new ServerId("s" + i);
    }

    /** Sets the time of the next commands, tenths of a millisecond; the wall clock shows the same in milliseconds. */
    void at(long time) {
        now = time;
        state.clock(now, now / 10);
    }

    long now() {
        return now;
    }

    /** Sets which tables servers can apply. */
    void accepts(Predicate<Table> can) {
        accepts = can;
    }

    /** Counts ended queries at a server, some of them bad. */
    void queries(int i, int count, int badOnes) {
        ended[i] += count;
        bad[i] += badOnes;
    }

    /** A server reports that it applies the revision in force, and whether it can apply the proposed one. */
    Answer report(int i) {
        return report(i, state.inForce());
    }

    Answer report(int i, RevisionId applied) {
        numbers.set(i, numbers.get(i) + 1);
        Table proposed = state.table(state.proposed());
        boolean can = state.proposed().equals(RevisionId.NONE) || accepts.test(proposed);
        return state.apply(new Command.Report(
                server(i),
                incarnations.get(i),
                numbers.get(i),
                applied,
                state.table(applied).root(),
                0,
                state.proposed(),
                can ? "" : "it does not suit",
                ended[i],
                bad[i],
                Map.of()));
    }

    /** Every server reports once. */
    void reportAll() {
        for (int i = 0; i < incarnations.size(); i++) {
            report(i);
        }
    }

    /** Servers report until no proposal is open and no change waits. */
    void settle() {
        while (!state.proposed().equals(RevisionId.NONE)) {
            reportAll();
        }
    }

    static Key cap(String tenant) {
        return new Key(Kind.CAP, tenant);
    }

    static Optional<Value> value(int cap) {
        return cap < 0 ? Optional.empty() : Optional.of(new Value.Cap(cap));
    }

    /** A change of one cap; a value below 0 stands for no cap. */
    static Change change(String tenant, int before, int after) {
        return new Change(cap(tenant), value(before), value(after));
    }

    Answer change(String command, String by, Change... changes) {
        return state.apply(new Command.ChangeEntries(
                new OperatorCommandId(command), List.of(changes), by, "why " + command, false));
    }

    Answer publish(String command, String by, long expected, Change... changes) {
        return state.apply(new Command.Publish(
                new OperatorCommandId(command),
                new RevisionId(expected),
                List.of(changes),
                by,
                "why " + command,
                false));
    }

    Answer rollback(String command, String by, long expected, long to) {
        return state.apply(new Command.Rollback(
                new OperatorCommandId(command),
                new RevisionId(expected),
                new RevisionId(to),
                by,
                "why " + command,
                false));
    }

    /** The cap of a tenant in the revision in force, -1 for none. */
    int inForce(String tenant) {
        return RevisionControl.connections(state.table(state.inForce()).get(cap(tenant)));
    }

    List<SnapshotPart> parts() {
        List<SnapshotPart> parts = new ArrayList<>();
        state.save(parts::add);
        return parts;
    }

    /** Replaces the state by one loaded from its snapshot. */
    void reload(Set<Guard> without) {
        State loaded = new State(without);
        loaded.load(parts().iterator());
        state = loaded;
    }
}
