package tallyweir.fleet.ratis;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;
import org.apache.ratis.proto.RaftProtos.LogEntryProto;
import org.apache.ratis.protocol.Message;
import org.apache.ratis.protocol.RaftClientRequest;
import org.apache.ratis.protocol.RaftGroupId;
import org.apache.ratis.server.RaftServer;
import org.apache.ratis.server.protocol.TermIndex;
import org.apache.ratis.server.storage.RaftStorage;
import org.apache.ratis.statemachine.StateMachineStorage;
import org.apache.ratis.statemachine.TransactionContext;
import org.apache.ratis.statemachine.impl.BaseStateMachine;
import org.apache.ratis.statemachine.impl.SimpleStateMachineStorage;
import org.apache.ratis.thirdparty.com.google.protobuf.ByteString;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import tallyweir.fleet.Answer;
import tallyweir.fleet.Command;
import tallyweir.fleet.Digest;
import tallyweir.fleet.FleetException;
import tallyweir.fleet.RevisionId;
import tallyweir.fleet.RevisionRoot;
import tallyweir.fleet.State;
import tallyweir.fleet.table.Change;
import tallyweir.fleet.table.Entry;
import tallyweir.fleet.table.Key;
import tallyweir.fleet.table.Table;

/**
 * The replicated state behind Ratis. A leader stamps each command with the fleet's clock: what that was when it began to lead,
 * and what has passed since by its own, which no step of a wall clock touches. An earlier leader's stamps are before it.
 *
 * <p>Commands are applied, and snapshots taken, by one thread of Ratis; questions come on others. The lock is held for as long as
 * one command is applied, or a table is looked up; tables do not change, so differences and pieces are worked out without it.
 */
final class Machine extends BaseStateMachine {
    private static final Logger LOG = LoggerFactory.getLogger(Machine.class);
    private static final int STAMP_BYTES = 2 * Long.BYTES;
    private static final Message NO_ANSWER = Message.EMPTY;

    private final SimpleStateMachineStorage storage = new SimpleStateMachineStorage();
    private final CommandCodec commands = new CommandCodec();
    private final AnswerCodec answers = new AnswerCodec();
    private final QuestionCodec questions = new QuestionCodec();
    private final ReplyCodec replies = new ReplyCodec();
    private final Auditor auditor = new Auditor(this);
    private final LongSupplier clock; // tenths of a millisecond; only goes forward
    private final LongSupplier wall; // ms since 1970
    private SnapshotStore snapshots;
    private State state = new State();
    private boolean leads;
    private long ledFrom; // by the fleet's clock,
    private long ledSince; // and by this voter's
    private Throwable logFailure;

    Machine(LongSupplier clock, LongSupplier wall) {
        this.clock = clock;
        this.wall = wall;
    }

    // ---- the log and its snapshots

    @Override
    public void initialize(RaftServer server, RaftGroupId group, RaftStorage raftStorage) throws IOException {
        super.initialize(server, group, raftStorage);
        snapshots = new SnapshotStore(
                raftStorage.getStorageDir().getStateMachineDir().toPath());
        Optional<SnapshotStore.Loaded> loaded = snapshots.loadNewestUndamaged();
        storage.init(raftStorage); // afterwards: it takes the newest file for the latest snapshot
        loaded.ifPresent(this::use);
    }

    /** Another voter's snapshot has been installed, and the log goes on after it. */
    @Override
    public void reinitialize() throws IOException {
        storage.loadLatestSnapshot();
        snapshots.loadNewest().ifPresent(this::use);
    }

    @Override
    public StateMachineStorage getStateMachineStorage() {
        return storage;
    }

    private synchronized void use(SnapshotStore.Loaded loaded) {
        state = loaded.state();
        setLastAppliedTermIndex(loaded.at());
        LOG.atInfo()
                .addKeyValue("index", loaded.at().getIndex())
                .addKeyValue("revision", state.inForce().value())
                .addKeyValue("servers", state.servers().size())
                .log("the fleet's state comes from a snapshot");
    }

    /** Without the lock: commands are applied by the thread that calls this, so nothing changes meanwhile. */
    @Override
    public long takeSnapshot() throws IOException {
        TermIndex at = getLastAppliedTermIndex();
        if (at.getIndex() <= 0) {
            return -1;
        }
        storage.updateLatestSnapshot(snapshots.save(state, at));
        return at.getIndex();
    }

    // ---- who leads

    @Override
    public synchronized void notifyLeaderReady() {
        leads = true;
        ledFrom = state.now();
        ledSince = clock.getAsLong();
        LOG.atInfo().addKeyValue("voter", getId()).log("leads the fleet");
    }

    @Override
    public synchronized void notifyNotLeader(Collection<TransactionContext> pending) {
        leads = false;
    }

    @Override
    public synchronized void notifyLogFailed(Throwable cause, LogEntryProto entry) {
        logFailure = cause;
        LOG.atError().setCause(cause).log("this voter's log cannot be written");
    }

    /** Why the log took no more, if it did not. */
    synchronized Optional<Throwable> logFailure() {
        return Optional.ofNullable(logFailure);
    }

    synchronized boolean leads() {
        return leads;
    }

    /** The fleet's clock as far as this voter may tell: it stands while it does not lead. */
    private synchronized long stamp() {
        return leads ? ledFrom + clock.getAsLong() - ledSince : 0;
    }

    /** Whether the clock alone would change something by now. */
    synchronized boolean due() {
        return leads && state.nextDue() <= stamp();
    }

    /** The version of the settings that the fleet goes by, 0 before it is founded. */
    synchronized long settingsVersion() {
        return state.version();
    }

    // ---- commands

    /** Called by the leader alone, before the command is in the log; what cannot be decoded does not come so far. */
    @Override
    public TransactionContext startTransaction(RaftClientRequest request) {
        ByteString content = request.getMessage().getContent();
        ByteBuffer stamp = ByteBuffer.allocate(STAMP_BYTES)
                .putLong(stamp())
                .putLong(wall.getAsLong())
                .flip();
        TransactionContext transaction = TransactionContext.newBuilder()
                .setStateMachine(this)
                .setClientRequest(request)
                .setLogData(ByteString.copyFrom(stamp).concat(content))
                .build();
        try {
            commands.decode(content.toByteArray());
        } catch (MalformedMessageException e) {
            transaction.setException(e);
        }
        return transaction;
    }

    @Override
    public CompletableFuture<Message> applyTransaction(TransactionContext transaction) {
        LogEntryProto entry = transaction.getLogEntry();
        ByteString data = entry.getStateMachineLogEntry().getLogData();
        Message message = NO_ANSWER;
        try {
            Command command = commands.decode(data.substring(STAMP_BYTES).toByteArray());
            message = message(answers.encode(apply(data.substring(0, STAMP_BYTES), command)));
        } catch (IOException | RuntimeException e) {
            // The same on every voter, since all read the same: it must not end one of them.
            LOG.error("a command of the log was passed over", e);
        }
        updateLastAppliedTermIndex(entry.getTerm(), entry.getIndex());
        return CompletableFuture.completedFuture(message);
    }

    private synchronized Answer apply(ByteString stamp, Command command) {
        ByteBuffer moments = stamp.asReadOnlyByteBuffer();
        long at = moments.getLong();
        state.clock(at, moments.getLong());
        return state.apply(command);
    }

    // ---- questions

    @Override
    public CompletableFuture<Message> query(Message request) {
        try {
            Question question = questions.decode(request.getContent().toByteArray());
            return CompletableFuture.completedFuture(message(replies.encode(reply(question))));
        } catch (IOException | RuntimeException e) {
            return CompletableFuture.failedFuture(e);
        }
    }

    private Reply reply(Question question) {
        if (question instanceof Question.Audit) {
            return new Reply.Audit(auditor.audit(currentState()));
        }
        if (question instanceof Question.Values values) {
            return values(values.keys());
        }
        if (question instanceof Question.Difference difference) {
            return difference(difference);
        }
        return piece((Question.Piece) question);
    }

    private synchronized State currentState() {
        return state;
    }

    private Reply values(List<Key> keys) {
        RevisionRoot revision;
        Table table;
        synchronized (this) {
            RevisionId inForce = state.inForce();
            table = state.table(inForce);
            revision = new RevisionRoot(inForce, table.root());
        }
        List<Entry> entries = keys.stream()
                .flatMap(key -> table.get(key).map(value -> new Entry(key, value)).stream())
                .toList();
        return new Reply.Values(revision, entries);
    }

    private Reply difference(Question.Difference question) {
        Optional<Table> from = table(question.from());
        Optional<Table> to = table(question.to().root());
        if (to.isEmpty()) {
            return new Reply.UnknownRoot();
        }
        Optional<List<Change>> changes = from.flatMap(table -> table.differenceTo(to.get(), question.most()));
        return changes.<Reply>map(Reply.Difference::new).orElseGet(Reply.TooFar::new);
    }

    private Reply piece(Question.Piece question) {
        Optional<Table> table = table(question.root());
        if (table.isEmpty()) {
            return new Reply.UnknownRoot();
        }
        try {
            return new Reply.Piece(table.get().piece(question.path()));
        } catch (FleetException e) { // the table has no such path
            return new Reply.UnknownRoot();
        }
    }

    private synchronized Optional<Table> table(Digest root) {
        return state.table(root);
    }

    private static Message message(byte[] bytes) {
        return Message.valueOf(ByteString.copyFrom(bytes));
    }
}
