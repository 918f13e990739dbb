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
import tallyweir.fleet.RevisionId;
import tallyweir.fleet.RevisionRoot;
import tallyweir.fleet.State;
import tallyweir.fleet.table.Entry;
import tallyweir.fleet.table.Key;
import tallyweir.fleet.table.Table;

/**
 * The Ratis state machine that holds the replicated state. The leader stamps each command with the fleet's clock: its value when the
 * leader was elected, plus the time elapsed since then on the leader's monotonic clock, so steps of a wall clock have no effect. The
 * stamps of an earlier leader are never later than those of the present one.
 *
 * <p>One thread of Ratis applies commands and takes snapshots; read requests arrive on other threads. The lock is held while one
 * command is applied or a table is looked up; tables are immutable, so differences and chunks are computed without it.
 */
final class FleetStateMachine extends BaseStateMachine {
    private static final Logger LOG = LoggerFactory.getLogger(FleetStateMachine.class);
    private static final int STAMP_BYTES = 2 * Long.BYTES;
    private static final Message NO_ANSWER = Message.EMPTY;

    private final SimpleStateMachineStorage storage = new SimpleStateMachineStorage();
    private final CommandCodec commands = new CommandCodec();
    private final AnswerCodec answers = new AnswerCodec();
    private final ReadRequestCodec requests = new ReadRequestCodec();
    private final ReadResponseCodec responses = new ReadResponseCodec();
    private final Auditor auditor = new Auditor(this);
    private final TableReader tableReader = new TableReader(this::table);
    private final LongSupplier clock; // tenths of a millisecond; monotonic
    private final LongSupplier wallClock; // ms since 1970
    private SnapshotStore snapshots;
    private State state = new State();
    private boolean leader;
    private long fleetTimeAtElection; // fleet's clock at the election
    private long clockAtElection; // this voter's clock at the election
    private Throwable logFailure;

    FleetStateMachine(LongSupplier clock, LongSupplier wall) {
        this.clock = clock;
        this.wallClock = wall;
    }

    // ---- the log and its snapshots

    @Override
    public void initialize(RaftServer server, RaftGroupId group, RaftStorage raftStorage) throws IOException {
        super.initialize(server, group, raftStorage);
        snapshots = new SnapshotStore(
                raftStorage.getStorageDir().getStateMachineDir().toPath());
        Optional<SnapshotStore.Loaded> loaded = snapshots.loadNewestUndamaged();
        storage.init(raftStorage); // after loading: it takes the newest file, damaged or not, as the latest snapshot
        loaded.ifPresent(this::install);
    }

    /** Called after another voter's snapshot was installed; the log continues after it. */
    @Override
    public void reinitialize() throws IOException {
        storage.loadLatestSnapshot();
        snapshots.loadNewest().ifPresent(this::install);
    }

    @Override
    public StateMachineStorage getStateMachineStorage() {
        return storage;
    }

    private synchronized void install(SnapshotStore.Loaded loaded) {
        state = loaded.state();
        setLastAppliedTermIndex(loaded.lastEntry());
        LOG.atInfo()
                .addKeyValue("index", loaded.lastEntry().getIndex())
                .addKeyValue("revision", state.inForce().value())
                .addKeyValue("servers", state.servers().size())
                .log("restored the fleet's state from a snapshot");
    }

    /** Runs without the lock: the calling thread is the one that applies commands, so the state does not change meanwhile. */
    @Override
    public long takeSnapshot() throws IOException {
        TermIndex at = getLastAppliedTermIndex();
        if (at.getIndex() <= 0) {
            return -1;
        }
        storage.updateLatestSnapshot(snapshots.save(state, at));
        return at.getIndex();
    }

    // ---- leadership

    @Override
    public synchronized void notifyLeaderReady() {
        leader = true;
        fleetTimeAtElection = state.now();
        clockAtElection = clock.getAsLong();
        LOG.atInfo().addKeyValue("voter", getId()).log("this voter leads the fleet");
    }

    @Override
    public synchronized void notifyNotLeader(Collection<TransactionContext> pending) {
        leader = false;
    }

    @Override
    public synchronized void notifyLogFailed(Throwable cause, LogEntryProto entry) {
        logFailure = cause;
        LOG.atError().setCause(cause).log("failed to write this voter's log");
    }

    /** Returns why the log could not be written, empty while it works. */
    synchronized Optional<Throwable> logFailure() {
        return Optional.ofNullable(logFailure);
    }

    synchronized boolean isLeader() {
        return leader;
    }

    /** Returns the fleet's clock in tenths of a millisecond if this voter leads, otherwise 0. */
    private synchronized long fleetTime() {
        return leader ? fleetTimeAtElection + clock.getAsLong() - clockAtElection : 0;
    }

    /** Returns whether this voter leads and the passage of time alone would change the state by now, so a tick is needed. */
    synchronized boolean isTickDue() {
        return leader && state.nextDeadline() <= fleetTime();
    }

    /** Returns the version of the settings in effect, 0 before the fleet is founded. */
    synchronized long settingsVersion() {
        return state.settingsVersion();
    }

    // ---- commands

    /** Called on the leader only, before the command is appended to the log; a command that cannot be decoded is refused here. */
    @Override
    public TransactionContext startTransaction(RaftClientRequest request) {
        ByteString content = request.getMessage().getContent();
        ByteBuffer stamp = ByteBuffer.allocate(STAMP_BYTES)
                .putLong(fleetTime())
                .putLong(wallClock.getAsLong())
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
            // Fails alike on every voter, since all read the same bytes, so it must not stop any of them.
            LOG.error("skipped a command of the log that failed", e);
        }
        updateLastAppliedTermIndex(entry.getTerm(), entry.getIndex());
        return CompletableFuture.completedFuture(message);
    }

    private synchronized Answer apply(ByteString stamp, Command command) {
        ByteBuffer times = stamp.asReadOnlyByteBuffer();
        long at = times.getLong();
        state.clock(at, times.getLong());
        return state.apply(command);
    }

    // ---- read requests

    @Override
    public CompletableFuture<Message> query(Message message) {
        try {
            ReadRequest request = requests.decode(message.getContent().toByteArray());
            return CompletableFuture.completedFuture(message(responses.encode(read(request))));
        } catch (IOException | RuntimeException e) {
            return CompletableFuture.failedFuture(e);
        }
    }

    private ReadResponse read(ReadRequest request) {
        if (request instanceof ReadRequest.Audit) {
            return new ReadResponse.Audit(auditor.audit(currentState()));
        }
        if (request instanceof ReadRequest.Values values) {
            return values(values.keys());
        }
        return tableReader.read(request);
    }

    private synchronized State currentState() {
        return state;
    }

    private ReadResponse values(List<Key> keys) {
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
        return new ReadResponse.Values(revision, entries);
    }

    private synchronized Optional<Table> table(Digest root) {
        return state.table(root);
    }

    private static Message message(byte[] bytes) {
        return Message.valueOf(ByteString.copyFrom(bytes));
    }
}
