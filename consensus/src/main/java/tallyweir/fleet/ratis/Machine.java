package tallyweir.fleet.ratis;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.File;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.util.Collection;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;
import org.apache.ratis.io.MD5Hash;
import org.apache.ratis.proto.RaftProtos.LogEntryProto;
import org.apache.ratis.protocol.Message;
import org.apache.ratis.protocol.RaftClientRequest;
import org.apache.ratis.protocol.RaftGroupId;
import org.apache.ratis.server.RaftServer;
import org.apache.ratis.server.protocol.TermIndex;
import org.apache.ratis.server.storage.FileInfo;
import org.apache.ratis.server.storage.RaftStorage;
import org.apache.ratis.statemachine.StateMachineStorage;
import org.apache.ratis.statemachine.TransactionContext;
import org.apache.ratis.statemachine.impl.BaseStateMachine;
import org.apache.ratis.statemachine.impl.SimpleStateMachineStorage;
import org.apache.ratis.statemachine.impl.SingleFileSnapshotInfo;
import org.apache.ratis.thirdparty.com.google.protobuf.ByteString;
import org.apache.ratis.util.MD5FileUtil;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import tallyweir.fleet.Body;
import tallyweir.fleet.Passage;
import tallyweir.fleet.Revision;
import tallyweir.fleet.RevisionId;
import tallyweir.fleet.Seat;
import tallyweir.fleet.State;

/**
 * The shared state behind Ratis. A leader stamps each command with the fleet's clock: what that was when it began to lead,
 * and what has passed since by its own, which no step of a wall clock touches. An earlier leader's stamps are before it.
 */
final class Machine extends BaseStateMachine {
    private static final Logger LOG = LoggerFactory.getLogger(Machine.class);
    private static final int STAMP = 16;

    private final SimpleStateMachineStorage storage = new SimpleStateMachineStorage();
    private final LongSupplier clock; // tenths of a millisecond; only goes forward
    private final LongSupplier wall; // ms since 1970
    private State state = new State();
    private boolean leads;
    private long ledFrom; // by the fleet's clock,
    private long ledSince; // and by this voter's
    private Throwable failed; // the log's

    Machine(LongSupplier clock, LongSupplier wall) {
        this.clock = clock;
        this.wall = wall;
    }

    // ---- the log and its snapshots

    @Override
    public void initialize(RaftServer server, RaftGroupId group, RaftStorage raftStorage) throws IOException {
        super.initialize(server, group, raftStorage);
        storage.init(raftStorage);
        load();
    }

    @Override
    public void reinitialize() throws IOException {
        load();
    }

    @Override
    public StateMachineStorage getStateMachineStorage() {
        return storage;
    }

    private synchronized void load() throws IOException {
        SingleFileSnapshotInfo snapshot = storage.loadLatestSnapshot();
        if (snapshot == null) {
            return;
        }
        File file = snapshot.getFile().getPath().toFile();
        MD5FileUtil.verifySavedMD5(file, MD5FileUtil.computeMd5ForFile(file));
        state = new State();
        state.load(Wire.CBOR.readValue(file, Map.class));
        TermIndex at = SimpleStateMachineStorage.getTermIndexFromSnapshotFile(file);
        setLastAppliedTermIndex(at);
        LOG.atInfo()
                .addKeyValue("index", at.getIndex())
                .addKeyValue("revision", state.inForce().value())
                .addKeyValue("servers", state.seats().size())
                .log("the fleet's state comes from a snapshot");
    }

    @Override
    public long takeSnapshot() throws IOException {
        TermIndex at;
        Map<String, Object> saved;
        synchronized (this) {
            at = getLastAppliedTermIndex();
            saved = state.save();
        }
        if (at.getIndex() <= 0) {
            return -1;
        }
        File file = storage.getSnapshotFile(at.getTerm(), at.getIndex());
        Files.write(file.toPath(), Wire.CBOR.writeValueAsBytes(saved));
        MD5Hash md5 = MD5FileUtil.computeAndSaveMd5ForFile(file);
        storage.updateLatestSnapshot(new SingleFileSnapshotInfo(new FileInfo(file.toPath(), md5), at));
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
        failed = cause;
        LOG.atError().setCause(cause).log("this voter's log cannot be written");
    }

    /** Whether the log took no more, and why. */
    synchronized Throwable failed() {
        return failed;
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

    synchronized long version() {
        return state.version();
    }

    // ---- commands

    @Override
    public TransactionContext startTransaction(RaftClientRequest request) {
        ByteBuffer stamp = ByteBuffer.allocate(STAMP)
                .putLong(stamp())
                .putLong(wall.getAsLong())
                .flip();
        return TransactionContext.newBuilder()
                .setStateMachine(this)
                .setClientRequest(request)
                .setLogData(
                        ByteString.copyFrom(stamp).concat(request.getMessage().getContent()))
                .build();
    }

    @Override
    public CompletableFuture<Message> applyTransaction(TransactionContext transaction) {
        LogEntryProto entry = transaction.getLogEntry();
        ByteString data = entry.getStateMachineLogEntry().getLogData();
        Wire.Writer answer = new Wire.Writer();
        synchronized (this) {
            ByteBuffer stamp = data.substring(0, STAMP).asReadOnlyByteBuffer();
            state.clock(stamp.getLong(), stamp.getLong());
            try {
                Wire.apply(state, Wire.node(data.substring(STAMP).toByteArray()), answer);
            } catch (RuntimeException e) {
                // The same on every voter, since all read the same: it must not end one of them.
                LOG.error("a command of the log was passed over", e);
            }
            updateLastAppliedTermIndex(entry.getTerm(), entry.getIndex());
        }
        return CompletableFuture.completedFuture(Message.valueOf(ByteString.copyFrom(answer.written())));
    }

    // ---- questions

    @Override
    public CompletableFuture<Message> query(Message request) {
        JsonNode q = Wire.node(request.getContent().toByteArray());
        ObjectNode a = Wire.CBOR.createObjectNode();
        synchronized (this) {
            switch (q.get("ask").textValue()) {
                case "body" -> {
                    Body body = state.body(new RevisionId(q.get("revision").longValue()));
                    if (body != null) {
                        a.put("body", body.bytes());
                    }
                }
                default -> audit(a);
            }
        }
        return CompletableFuture.completedFuture(Message.valueOf(ByteString.copyFrom(Wire.bytes(a))));
    }

    private void audit(ObjectNode a) {
        a.put("fleet", state.fleet())
                .put("version", state.version())
                .put("in_force", state.inForce().value())
                .put("proposed", state.proposed().value())
                .put("live", state.live())
                .put("out", state.out());
        ArrayNode revisions = a.putArray("revisions");
        for (Revision r : state.revisions()) {
            revisions
                    .addObject()
                    .put("revision", r.id().value())
                    .put("of", r.of().value())
                    .put("digest", r.body().value())
                    .put("by", r.by())
                    .put("why", r.why())
                    .put("fate", r.fate().name())
                    .put("proposed_ms", r.proposedWall())
                    .put("since_ms", r.sinceWall())
                    .put("reasons", r.reasons());
        }
        ArrayNode servers = a.putArray("servers");
        state.seats().forEach(s -> seat(servers.addObject(), s));
        ArrayNode gone = a.putArray("gone");
        state.gone().forEach(s -> seat(gone.addObject(), s));
        ArrayNode caps = a.putArray("caps");
        state.caps()
                .forEach((t, cap) -> caps.addObject()
                        .put("tenant", t.value())
                        .put("cap", cap)
                        .put("floor", state.floor(cap))
                        .put("lent", state.lent(t))
                        .put("spoken", state.spoken(t)));
    }

    private static void seat(ObjectNode a, Seat s) {
        a.put("server", s.server().value())
                .put("listen", s.listen())
                .put("incarnation", s.as().value())
                .put("standing", s.standing().name())
                .put("silent", s.silent())
                .put("marked", s.marked())
                .put("odd", s.odd())
                .put("cause", s.cause())
                .put("acting", s.acting().value())
                .put("digest", s.inForce().value())
                .put("heard_ms", s.heardWall())
                .put("out_ms", s.outWall())
                .put("outdated", s.outdated())
                .put("folded", s.folded());
        ArrayNode passages = a.putArray("passages");
        for (Passage p : s.passages()) {
            passages.addObject()
                    .put("incarnation", p.as().value())
                    .put("from", p.from().value())
                    .put("to", p.to().value())
                    .put("behind_ms", p.behind() / 10.0)
                    .put("outdated", p.outdated())
                    .put("at_ms", p.wall());
        }
    }
}
