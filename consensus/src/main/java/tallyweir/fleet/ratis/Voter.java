package tallyweir.fleet.ratis;

import java.io.IOException;
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
import tallyweir.fleet.Fault;

/** One of the servers that keep the log: Ratis's server round the shared state, and what its leader does by the clock. */
public final class Voter implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(Voter.class);
    private static final long ELECTION_MS = 300; // a leader not heard for so long to twice as long is replaced
    private static final long SNAPSHOT_EVERY = 20_000; // entries
    private static final int LOOK_MS = 10;
    private static final int SEGMENT_MB = 8;
    private static final int ENTRY_MB = 4;

    private final String fleet;
    private final RaftServer server;
    private final Machine machine;
    private final RaftClient client;
    private final Thread clockwork;
    private final byte[] found;
    private final long version;
    private volatile boolean closed;

    /**
     * @param dir where the log is kept
     * @param found the command by which its leader founds the fleet, or gives it newer settings, of this version
     */
    private Voter(
            String fleet,
            Map<String, String> voters,
            String self,
            Path dir,
            byte[] found,
            long version,
            LongSupplier clock,
            LongSupplier wall)
            throws IOException {
        this.fleet = fleet;
        this.found = found;
        this.version = version;
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
        RaftServerConfigKeys.Snapshot.setRetentionFileNum(p, 2);
        RaftServerConfigKeys.Log.setSegmentSizeMax(p, SizeInBytes.valueOf(SEGMENT_MB + "MB"));
        RaftServerConfigKeys.Log.setPreallocatedSize(p, SizeInBytes.valueOf("256KB"));
        RaftServerConfigKeys.Log.setWriteBufferSize(p, SizeInBytes.valueOf(2 * ENTRY_MB + "MB"));
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
            Founding founding,
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
            v = new Voter(fleet, voters, self, dir, founding.command(fleet), founding.version(), clock, wall);
            v.server.start();
        } catch (IOException | RuntimeException e) {
            throw new Fault.LogDamaged(self, e.toString()).thrown();
        }
        v.clockwork.start();
        return v;
    }

    /** The settings by which a fleet is founded; a later version replaces an earlier one. */
    public record Founding(
            long version,
            long lease,
            long tail,
            long floorLease,
            long behindMost,
            double drift,
            double mostOut,
            double mostCannot,
            int serversMost,
            double floorShare,
            long probation,
            double worseRatio,
            double sickShare) {
        byte[] command(String fleet) {
            return Wire.found(
                    fleet,
                    version,
                    lease,
                    tail,
                    floorLease,
                    behindMost,
                    drift,
                    mostOut,
                    mostCannot,
                    serversMost,
                    floorShare,
                    probation,
                    worseRatio,
                    sickShare);
        }
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
                if (machine.leads() && machine.version() < version) {
                    client.io().send(Message.valueOf(ByteString.copyFrom(found)));
                } else if (machine.due()) {
                    client.io().send(Message.valueOf(ByteString.copyFrom(Wire.tick())));
                }
            } catch (InterruptedException e) {
                return;
            } catch (IOException | RuntimeException e) {
                LOG.debug("this voter leads no longer, or not yet", e);
            }
        }
    }

    public boolean leads() {
        return machine.leads();
    }

    /** What the log's disk did, null while it works. */
    public Fault fault() {
        Throwable why = machine.failed();
        return why == null ? null : new Fault.LogFull(server.getId().toString(), why.toString());
    }

    @Override
    public void close() throws IOException {
        closed = true;
        clockwork.interrupt();
        client.close();
        server.close();
        LOG.atInfo().addKeyValue("fleet", fleet).log("this voter has ended");
    }
}
