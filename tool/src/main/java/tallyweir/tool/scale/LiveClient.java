package tallyweir.tool.scale;

import java.util.concurrent.Executor;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import tallyweir.fleet.Answer;
import tallyweir.fleet.Command;
import tallyweir.fleet.Fault;
import tallyweir.fleet.FleetClient;
import tallyweir.fleet.Incarnation;
import tallyweir.fleet.RevisionRoot;
import tallyweir.fleet.ServerId;
import tallyweir.fleet.table.Table;

/** A server's client of the voters of a live run, which can be cut off: what is sent then fails once it would be given up. */
final class LiveClient implements FleetClient {
    private static final String VOTERS = "voters that are cut off";

    private final FleetClient client;
    private final BooleanSupplier reached;
    private final ScheduledExecutorService timer;
    private final long giveUpMilliseconds;
    private final AtomicLong messages;

    /**
     * Cuts a client off where it is to be.
     *
     * @param reached whether it is not cut off now
     * @param timer for failures
     * @param messages counts commands and answers, and two for each fetch
     */
    LiveClient(
            FleetClient client,
            BooleanSupplier reached,
            ScheduledExecutorService timer,
            long giveUpMilliseconds,
            AtomicLong messages) {
        this.client = client;
        this.reached = reached;
        this.timer = timer;
        this.giveUpMilliseconds = giveUpMilliseconds;
        this.messages = messages;
    }

    @Override
    public void send(Command command, Executor deciding, Consumer<Answer> to, Runnable failed) {
        if (!reached.getAsBoolean()) {
            later(deciding, failed);
            return;
        }
        messages.incrementAndGet();
        client.send(
                command,
                deciding,
                answer -> {
                    messages.incrementAndGet();
                    heard(() -> to.accept(answer), failed);
                },
                failed);
    }

    @Override
    public void fetch(Table have, RevisionRoot wanted, Executor deciding, Consumer<Table> to, Consumer<Fault> failed) {
        Runnable cutOff = () -> failed.accept(new Fault.NoLeader(VOTERS, giveUpMilliseconds));
        if (!reached.getAsBoolean()) {
            later(deciding, cutOff);
            return;
        }
        messages.addAndGet(2);
        client.fetch(have, wanted, deciding, table -> heard(() -> to.accept(table), cutOff), failed);
    }

    private void heard(Runnable then, Runnable failed) {
        if (reached.getAsBoolean()) {
            then.run();
        } else {
            failed.run();
        }
    }

    private void later(Executor deciding, Runnable failed) {
        timer.schedule(() -> deciding.execute(failed), giveUpMilliseconds, TimeUnit.MILLISECONDS);
    }

    @Override
    public void leave(ServerId server, Incarnation as) {
        client.leave(server, as);
    }

    @Override
    public void close() {
        client.close();
    }
}
