package tallyweir.fleet.ratis;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.apache.ratis.client.RaftClient;
import org.apache.ratis.conf.RaftProperties;
import org.apache.ratis.grpc.GrpcConfigKeys;
import org.apache.ratis.protocol.Message;
import org.apache.ratis.protocol.RaftPeerId;
import org.apache.ratis.server.RaftServer;
import org.apache.ratis.server.RaftServerConfigKeys;
import org.apache.ratis.server.storage.RaftStorage;
import org.apache.ratis.thirdparty.com.google.protobuf.ByteString;
import org.apache.ratis.util.ExitUtils;
import org.apache.ratis.util.SizeInBytes;
import org.apache.ratis.util.TimeDuration;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import tallyweir.fleet.Command;
import tallyweir.fleet.Fault;
import tallyweir.fleet.FleetSettings;

/** One of the servers that keep the log: Ratis's server round the shared state, and what its leader does by the clock. */
public final class Voter implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(Voter.class);
    private static final long ELECTION_MS = 300; // a leader not heard for so long to twice as long is replaced
    private static final long SNAPSHOT_EVERY = 20_000; // entries
    private static final int SNAPSHOTS_KEPT = 2;
    private static final int LOOK_MS = 10;
    private static final int SEGMENT_MB = 8;
    private static final int ENTRY_MB = 16; // of the log: a revision that changes half a million entries

    private final CommandCodec commands = new CommandCodec();
    private final String fleet;
    private final RaftServer server;
    private final Machine machine;
    private final RaftClient client;
    private final Thread clockwork;
    private final FleetSettings settings;
    private volatile boolean closed;

    /**
     * @param dir where the log is kept
     * @param settings by which its leader founds the fleet, or which it gives it where they are newer
     */
    private Voter(
            String fleet,
            Map<String, String> voters,
            String self,
            Path dir,
            FleetSettings settings,
            LongSupplier clock,
            LongSupplier wall)
            throws IOException {
        this.fleet = fleet;
        this.settings = settings;
        machine = new Machine(clock, wall);
        RaftProperties p = new RaftProperties();
        RaftServerConfigKeys.setStorageDir(p, List.of(dir.toFile()));
        RaftServerConfigKeys.Rpc.setTimeoutMin(p, TimeDuration.valueOf(ELECTION_MS, TimeUnit.MILLISECONDS));
        RaftServerConfigKeys.Rpc.setTimeoutMax(p, TimeDuration.valueOf(2 * ELECTION_MS, TimeUnit.MILLISECONDS));
        RaftServerConfigKeys.Rpc.setFirstElectionTimeoutMin(
                p, TimeDuration.valueOf(ELECTION_MS, TimeUnit.MILLISECONDS));
        RaftServerConfigKeys.Rpc.setFirstElectionTimeoutMax(
                p, TimeDuration.valueOf(2 * ELECTION_MS, TimeUnit.MILLISECONDS));
        RaftServerConfigKeys.Snapshot.setAutoTriggerEnabled(p, true);
        RaftServerConfigKeys.Snapshot.setAutoTriggerThreshold(p, SNAPSHOT_EVERY);
        RaftServerConfigKeys.Snapshot.setRetentionFileNum(p, SNAPSHOTS_KEPT);
        // So that the log goes on from the earlier of two snapshots if the later one is damaged.
        RaftServerConfigKeys.Log.setPurgePreservationLogNum(p, 2 * SNAPSHOT_EVERY);
        RaftServerConfigKeys.Log.setSegmentSizeMax(p, SizeInBytes.valueOf(SEGMENT_MB + "MB"));
        RaftServerConfigKeys.Log.setPreallocatedSize(p, SizeInBytes.valueOf("256KB"));
        RaftServerConfigKeys.Log.setWriteBufferSize(p, SizeInBytes.valueOf(ENTRY_MB + 1 + "MB"));
        RaftServerConfigKeys.Log.Appender.setBufferByteLimit(p, SizeInBytes.valueOf(ENTRY_MB + "MB"));
        RaftServerConfigKeys.Read.setOption(p, RaftServerConfigKeys.Read.Option.LINEARIZABLE);
        String at = voters.get(self);
        int colon = at.lastIndexOf(':');
        GrpcConfigKeys.Server.setHost(p, at.substring(0, colon));
        GrpcConfigKeys.Server.setPort(p, Integer.parseInt(at.substring(colon + 1)));
        boolean there = Files.isDirectory(
                dir.resolve(Voters.id(fleet).getUuid().toString()).resolve("current"));
        server = RaftServer.newBuilder()
                .setServerId(RaftPeerId.valueOf(self))
                .setGroup(Voters.group(fleet, voters))
                .setProperties(p)
                .setStateMachine(machine)
                .setOption(there ? RaftStorage.StartupOption.RECOVER : RaftStorage.StartupOption.FORMAT)
                .build();
        client = Voters.client(fleet, Map.of(self, at), 1_000);
        clockwork = new Thread(this::lead, "fleet clock");
        clockwork.setDaemon(true);
    }

    /**
     * Starts one.
     *
     * @param clock tenths of a millisecond, only going forward
     * @param wall ms since 1970
     */
    public static Voter start(
            String fleet,
            Map<String, String> voters,
            String self,
            Path dir,
            FleetSettings settings,
            LongSupplier clock,
            LongSupplier wall)
            throws IOException {
        ExitUtils.disableSystemExit(); // whatever becomes of this part, the server goes on
        Files.createDirectories(dir);
        // Looked at first: Ratis does not tell a taken address from a log that it cannot read.
        String at = voters.get(self);
        try (ServerSocket free = new ServerSocket()) {
            free.setReuseAddress(true);
            free.bind(new InetSocketAddress(
                    at.substring(0, at.lastIndexOf(':')), Integer.parseInt(at.substring(at.lastIndexOf(':') + 1))));
        } catch (BindException e) {
            throw new Fault.NameTaken(self, at).thrown();
        }
        Voter v;
        try {
            v = new Voter(fleet, voters, self, dir, settings, clock, wall);
            v.server.start();
        } catch (IOException | RuntimeException e) {
            throw new Fault.LogDamaged(self, e.toString()).thrown();
        }
        v.clockwork.start();
        return v;
    }

    /** What a leader does by itself: it founds the fleet, and tells the state the time where something is due by it. */
    private void lead() {
        boolean told = false;
        while (!closed) {
            try {
                TimeUnit.MILLISECONDS.sleep(LOOK_MS);
                if (!told && fault() != null) {
                    told = true;
                    LOG.error(fault().what() + "; " + fault().advice());
                }
                if (machine.leads() && machine.settingsVersion() < settings.version()) {
                    send(new Command.Found(fleet, settings));
                } else if (machine.due()) {
                    send(new Command.Tick());
                }
            } catch (InterruptedException e) {
                return;
            } catch (IOException | RuntimeException e) {
                LOG.debug("this voter leads no longer, or not yet", e);
            }
        }
    }

    private void send(Command command) throws IOException {
        client.io().send(Message.valueOf(ByteString.copyFrom(commands.encode(command))));
    }

    /** Whether this voter leads, as far as it knows. */
    public boolean leads() {
        return machine.leads();
    }

    /** What the log's disk did, null while it works. */
    public Fault fault() {
        return machine.logFailure()
                .map(why -> new Fault.LogFull(server.getId().toString(), why.toString()))
                .orElse(null);
    }

    @Override
    public void close() {
        closed = true;
        clockwork.interrupt();
        try {
            client.close();
            server.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        LOG.atInfo().addKeyValue("fleet", fleet).log("this voter has ended");
    }
}
