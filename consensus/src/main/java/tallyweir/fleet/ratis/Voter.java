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

/** One of the servers that replicate the log: a Ratis server with the replicated state, and the thread with the leader's periodic work. */
public final class Voter implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(Voter.class);
    private static final long MIN_ELECTION_TIMEOUT_MS =
            300; // an election starts after one to two times this without a heartbeat
    private static final long SNAPSHOT_INTERVAL_ENTRIES = 20_000; // entries
    private static final int RETAINED_SNAPSHOTS = 2;
    private static final int POLL_INTERVAL_MS = 10;
    private static final int SEGMENT_MB = 8;
    private static final int MAX_ENTRY_MB = 16; // one log entry: a revision that changes half a million entries

    private final CommandCodec commands = new CommandCodec();
    private final String fleet;
    private final RaftServer server;
    private final FleetStateMachine machine;
    private final RaftClient client;
    private final Thread leaderThread;
    private final FleetSettings settings;
    private volatile boolean closed;

    /**
     * @param dir directory of the log and the snapshots
     * @param settings the leader founds the fleet with them, or applies them if they are newer than those in effect
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
        machine = new FleetStateMachine(clock, wall);
        RaftProperties properties = new RaftProperties();
        RaftServerConfigKeys.setStorageDir(properties, List.of(dir.toFile()));
        RaftServerConfigKeys.Rpc.setTimeoutMin(
                properties, TimeDuration.valueOf(MIN_ELECTION_TIMEOUT_MS, TimeUnit.MILLISECONDS));
        RaftServerConfigKeys.Rpc.setTimeoutMax(
                properties, TimeDuration.valueOf(2 * MIN_ELECTION_TIMEOUT_MS, TimeUnit.MILLISECONDS));
        RaftServerConfigKeys.Rpc.setFirstElectionTimeoutMin(
                properties, TimeDuration.valueOf(MIN_ELECTION_TIMEOUT_MS, TimeUnit.MILLISECONDS));
        RaftServerConfigKeys.Rpc.setFirstElectionTimeoutMax(
                properties, TimeDuration.valueOf(2 * MIN_ELECTION_TIMEOUT_MS, TimeUnit.MILLISECONDS));
        RaftServerConfigKeys.Snapshot.setAutoTriggerEnabled(properties, true);
        RaftServerConfigKeys.Snapshot.setAutoTriggerThreshold(properties, SNAPSHOT_INTERVAL_ENTRIES);
        RaftServerConfigKeys.Snapshot.setRetentionFileNum(properties, RETAINED_SNAPSHOTS);
        // Keeps enough of the log to continue from the earlier of two snapshots if the later one is damaged.
        RaftServerConfigKeys.Log.setPurgePreservationLogNum(properties, 2 * SNAPSHOT_INTERVAL_ENTRIES);
        RaftServerConfigKeys.Log.setSegmentSizeMax(properties, SizeInBytes.valueOf(SEGMENT_MB + "MB"));
        RaftServerConfigKeys.Log.setPreallocatedSize(properties, SizeInBytes.valueOf("256KB"));
        RaftServerConfigKeys.Log.setWriteBufferSize(properties, SizeInBytes.valueOf(MAX_ENTRY_MB + 1 + "MB"));
        RaftServerConfigKeys.Log.Appender.setBufferByteLimit(properties, SizeInBytes.valueOf(MAX_ENTRY_MB + "MB"));
        RaftServerConfigKeys.Read.setOption(properties, RaftServerConfigKeys.Read.Option.LINEARIZABLE);
        String address = voters.get(self);
        int colon = address.lastIndexOf(':');
        GrpcConfigKeys.Server.setHost(properties, address.substring(0, colon));
        GrpcConfigKeys.Server.setPort(properties, Integer.parseInt(address.substring(colon + 1)));
        boolean existing = Files.isDirectory(
                dir.resolve(VoterGroup.groupId(fleet).getUuid().toString()).resolve("current"));
        server = RaftServer.newBuilder()
                .setServerId(RaftPeerId.valueOf(self))
                .setGroup(VoterGroup.group(fleet, voters))
                .setProperties(properties)
                .setStateMachine(machine)
                .setOption(existing ? RaftStorage.StartupOption.RECOVER : RaftStorage.StartupOption.FORMAT)
                .build();
        client = VoterGroup.client(fleet, Map.of(self, address), 1_000);
        leaderThread = new Thread(this::runLeaderWork, "fleet clock");
        leaderThread.setDaemon(true);
    }

    /**
     * Starts a voter.
     *
     * @param dir directory of the log and the snapshots, created if missing
     * @param clock monotonic clock in tenths of a millisecond
     * @param wall wall clock in ms since 1970
     * @throws tallyweir.fleet.FleetException {@link Fault.NameTaken} if the voter's address is in use, {@link Fault.LogDamaged} if it
     *     cannot start for another reason
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
        ExitUtils.disableSystemExit(); // a failure of the voter must not end the server's process
        Files.createDirectories(dir);
        // Checked first, since Ratis does not distinguish an address in use from an unreadable log.
        String address = voters.get(self);
        try (ServerSocket free = new ServerSocket()) {
            free.setReuseAddress(true);
            free.bind(new InetSocketAddress(
                    address.substring(0, address.lastIndexOf(':')),
                    Integer.parseInt(address.substring(address.lastIndexOf(':') + 1))));
        } catch (BindException e) {
            throw new Fault.NameTaken(self, address).toException();
        }
        Voter voter;
        try {
            voter = new Voter(fleet, voters, self, dir, settings, clock, wall);
            voter.server.start();
        } catch (IOException | RuntimeException e) {
            throw new Fault.LogDamaged(self, e.toString()).toException();
        }
        voter.leaderThread.start();
        return voter;
    }

    /** Periodic work of the leader: founds the fleet or updates its settings, and sends a tick when a deadline of the state has passed. */
    private void runLeaderWork() {
        boolean faultLogged = false;
        while (!closed) {
            try {
                TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MS);
                if (!faultLogged && fault() != null) {
                    faultLogged = true;
                    LOG.error(fault().description() + "; " + fault().advice());
                }
                if (machine.isLeader() && machine.settingsVersion() < settings.version()) {
                    send(new Command.CreateFleet(fleet, settings));
                } else if (machine.isTickDue()) {
                    send(new Command.Tick());
                }
            } catch (InterruptedException e) {
                return;
            } catch (IOException | RuntimeException e) {
                LOG.debug("this voter does not lead, or no longer", e);
            }
        }
    }

    private void send(Command command) throws IOException {
        client.io().send(Message.valueOf(ByteString.copyFrom(commands.encode(command))));
    }

    /** Returns whether this voter believes that it is the leader; may be out of date. */
    public boolean isLeader() {
        return machine.isLeader();
    }

    /** Returns the fault of the log's disk, null while it works. */
    public Fault fault() {
        return machine.logFailure()
                .map(cause -> new Fault.LogFull(server.getId().toString(), cause.toString()))
                .orElse(null);
    }

    @Override
    public void close() {
        closed = true;
        leaderThread.interrupt();
        try {
            client.close();
            server.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        LOG.atInfo().addKeyValue("fleet", fleet).log("this voter is closed");
    }
}
