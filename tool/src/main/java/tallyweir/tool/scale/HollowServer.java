package tallyweir.tool.scale;

import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import tallyweir.backend.TableCaps;
import tallyweir.fleet.Answer;
import tallyweir.fleet.Command;
import tallyweir.fleet.Digest;
import tallyweir.fleet.FleetClient;
import tallyweir.fleet.Gate;
import tallyweir.fleet.Member;
import tallyweir.fleet.MemberActions;
import tallyweir.fleet.RevisionRoot;
import tallyweir.fleet.ServerId;
import tallyweir.fleet.table.Table;
import tallyweir.ids.TenantId;

/** A server's side of a fleet, without sockets to callers: its member, its gate and the table that it acts on. */
final class HollowServer implements ServerUnderTest, MemberActions {
    private static final String HOST = "10.0.0.1:";

    private final long life;
    private final FleetClient client;
    private final Executor deciding;
    private final Gate gate = new Gate(ScaleSettings.LINGER);
    private final Member member;
    private final DrawnLoad load;
    private Table fetched;
    private boolean standsBack = true;

    /** Which process of which server. */
    record Identity(int number, long life, long seed) {}

    /**
     * Starts one.
     *
     * @param initial the table that it has, EMPTY for none
     * @param tenants of the fleet
     * @param activeTenants that it has connections of
     */
    HollowServer(
            Identity identity,
            long now,
            Table initial,
            int tenants,
            int activeTenants,
            FleetClient client,
            Executor deciding) {
        life = identity.life;
        fetched = initial;
        this.client = client;
        this.deciding = deciding;
        SplittableRandom random = new SplittableRandom(identity.seed);
        member = new Member(
                this,
                gate,
                new ServerId("server-" + identity.number),
                HOST + identity.number,
                ScaleSettings.RETRY,
                true,
                random.nextLong(),
                now,
                Set.of());
        load = new DrawnLoad(gate, random, tenants, activeTenants);
    }

    @Override
    public void clock(long now) {
        member.clock(now);
    }

    @Override
    public long next() {
        return Math.min(member.nextDeadline(), gate.nextReleaseAt());
    }

    @Override
    public void drawLoad() {
        load.step();
    }

    @Override
    public long acting() {
        return member.applied().value();
    }

    @Override
    public boolean standsBack() {
        return standsBack;
    }

    @Override
    public int connections(TenantId tenant) {
        return gate.usedConnections(tenant);
    }

    @Override
    public void close() {
        client.close();
    }

    // ---- what the member asks for

    @Override
    public QueryCounts endedQueries() {
        return new QueryCounts(0, 0);
    }

    @Override
    public void join(ServerId server, String listen) {
        send(new Command.Join(ScaleSettings.FLEET, server, listen, life));
    }

    @Override
    public void report(Command.Report report) {
        send(report);
    }

    private void send(Command command) {
        client.send(command, deciding, this::hear, member::requestFailed);
    }

    private void hear(Answer answer) {
        if (answer instanceof Answer.Done || answer instanceof Answer.Waiting) {
            member.requestFailed(); // no answer to what a server asks
        } else {
            member.onAnswer(answer);
        }
    }

    @Override
    public void check(RevisionRoot revision) {
        fetch(revision, reason -> member.checked(revision.id(), reason));
    }

    @Override
    public void apply(RevisionRoot revision) {
        if (fetched.root().equals(revision.root())) {
            take(revision);
            return;
        }
        fetch(revision, reason -> {
            if (reason.isEmpty()) {
                take(revision);
            } else {
                member.applyFailed(revision.id());
            }
        });
    }

    private void fetch(RevisionRoot revision, Consumer<String> then) {
        client.fetch(
                fetched,
                revision,
                deciding,
                table -> {
                    fetched = table;
                    then.accept("");
                },
                fault -> then.accept(fault.description()));
    }

    private void take(RevisionRoot revision) {
        Table table = fetched;
        gate.caps(new TableCaps(table));
        Digest root = table.root();
        deciding.execute(() -> member.applied(revision.id(), root, 0));
    }

    @Override
    public void setWithdrawn(boolean back) {
        standsBack = back;
    }
}
