package tallyweir.backend;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import tallyweir.fleet.Answer;
import tallyweir.fleet.Command;
import tallyweir.fleet.Fault;
import tallyweir.fleet.FleetClient;
import tallyweir.fleet.Incarnation;
import tallyweir.fleet.RevisionRoot;
import tallyweir.fleet.ServerId;
import tallyweir.fleet.table.Table;

/** Records commands and fetches, which the test answers. */
final class RecordingFleetClient implements FleetClient {
    /** A command without an answer yet. */
    record Sent(Command command, Executor executor, Consumer<Answer> onAnswer, Runnable onFailure) {
        void answer(Answer answer) {
            executor.execute(() -> onAnswer.accept(answer));
        }
    }

    /** A fetch without a result yet. */
    record Fetch(
            Table have, RevisionRoot wanted, Executor executor, Consumer<Table> onTable, Consumer<Fault> onFailure) {
        void answer(Table table) {
            executor.execute(() -> onTable.accept(table));
        }

        void fail(Fault fault) {
            executor.execute(() -> onFailure.accept(fault));
        }
    }

    final Deque<Sent> sent = new ArrayDeque<>();
    final Deque<Fetch> fetches = new ArrayDeque<>();

    @Override
    public void send(Command command, Executor executor, Consumer<Answer> onAnswer, Runnable onFailure) {
        sent.add(new Sent(command, executor, onAnswer, onFailure));
    }

    @Override
    public void fetch(
            Table have, RevisionRoot wanted, Executor executor, Consumer<Table> onTable, Consumer<Fault> onFailure) {
        fetches.add(new Fetch(have, wanted, executor, onTable, onFailure));
    }

    @Override
    public void leave(ServerId server, Incarnation as) {
        sent.clear();
    }

    @Override
    public void close() {
        fetches.clear();
    }
}
