package tallyweir.backend;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Map;
import java.util.logging.Level;
import java.util.logging.Logger;
import tallyweir.config.Config;
import tallyweir.fastcgi.Records;
import tallyweir.ids.ConnectionId;
import tallyweir.ids.LinkId;

/**
 * Warm-up before listening: runs generated queries through a separate backend whose links are simulated. On a fraction
 * of a core, code that isn't compiled yet costs the first seconds of service: queries stay unread for longer than they
 * may take. The classes loaded here are also those that the class-data archive contains.
 */
public final class WarmUp implements Links {
    private static final int QUERY_COUNT = 1_500;
    private static final long QUERY_INTERVAL_TENTHS_MS = 100; // a hundredth of a second on the simulated clock
    private static final long MAX_DURATION_NANOS = 3_000_000_000L;

    private final Backend backend;
    private final List<String> workloads;
    private final String tenant;
    private final long callerTimeout;
    private final ArrayDeque<Runnable> pendingEvents = new ArrayDeque<>();
    private long now;
    private long noticeNumber;

    private WarmUp(Config config) {
        backend = new Backend(this, config, now, 0);
        workloads = config.settings.effects().keySet().stream()
                .map(w -> w.value())
                .sorted()
                .toList();
        tenant = config.settings.tenants().stream().findFirst().orElse("");
        callerTimeout = config.settings.maxHardLimit();
    }

    /** Runs the warm-up, for at most three seconds, without log output. Returns the counters of its backend. */
    public static Map<String, Long> run(Config config) {
        Logger log = Logger.getLogger("tallyweir.backend");
        Level before = log.getLevel();
        log.setLevel(Level.OFF);
        WarmUp warmUp = new WarmUp(config);
        warmUp.run(System.nanoTime() + MAX_DURATION_NANOS);
        log.setLevel(before);
        return warmUp.backend.counters().all();
    }

    private void run(long deadlineNanos) {
        backend.start();
        for (int i = 0; i < QUERY_COUNT && System.nanoTime() < deadlineNanos; i++) {
            now += QUERY_INTERVAL_TENTHS_MS;
            backend.updateClock(now, now);
            if (i % 32 == 0) {
                ConnectionId previous = new ConnectionId(0);
                backend.closed(previous);
                backend.accepted();
            }
            backend.read(new ConnectionId(0), ByteBuffer.wrap(query(i)));
            while (!pendingEvents.isEmpty()) {
                pendingEvents.poll().run();
            }
            backend.runDue();
        }
    }

    private byte[] query(int i) {
        return Records.query(
                1 + i % 32,
                "asked".getBytes(ISO_8859_1),
                "REQUEST_METHOD",
                "POST",
                "SCRIPT_NAME",
                "/do/" + workloads.get(i % workloads.size()),
                "HTTP_REQUEST_ID",
                String.format("%016x", i + 1),
                "HTTP_RECEIVED_AT",
                "" + now / 10,
                "HTTP_SENT_BY",
                "" + i % 8,
                "HTTP_ACCOUNT",
                tenant,
                "HTTP_BUDGET_MS",
                "" + callerTimeout / 10,
                "HTTP_FOOTPRINT_KB",
                "1.5",
                "HTTP_PRIORITY_RANK",
                "0.5",
                "HTTP_ONCE_KEY",
                "k" + i);
    }

    @Override
    public void sendToCaller(ConnectionId caller, byte[] bytes) {}

    @Override
    public void halfCloseCaller(ConnectionId caller) {}

    @Override
    public boolean isQuiet(ConnectionId caller) {
        return true;
    }

    @Override
    public boolean halfCloseIfQuiet(ConnectionId caller) {
        return true;
    }

    @Override
    public void closeCaller(ConnectionId caller) {}

    @Override
    public boolean closeStuckCaller() {
        return false;
    }

    @Override
    public void stopListening() {}

    @Override
    public boolean areCallersWaiting() {
        return false;
    }

    @Override
    public void connect(LinkId link, Peer peer, InetSocketAddress at) {
        pendingEvents.add(() -> {
            backend.linkUp(link);
            if (peer == Peer.KERNEL) {
                deliver(link, "{\"type\":\"BOOTED\",\"state\":\"old\",\"took\":1000000}\n");
            }
        });
    }

    private void deliver(LinkId link, String text) {
        pendingEvents.add(() -> backend.read(link, ByteBuffer.wrap(text.getBytes(ISO_8859_1))));
    }

    @Override
    public void sendToPeer(LinkId link, byte[] bytes) {
        String text = new String(bytes, ISO_8859_1);
        if (text.contains("SYSINFO")) {
            deliver(link, "{\"type\":\"INFO\",\"ref\":\"" + field(text, "ref") + "\",\"gauges\":[0.5,1,0,0]}\n");
        } else if (text.contains("SCHED")) {
            deliverNotice(link, "IOREQ", field(text, "job"));
        } else if (text.contains("IODONE")) {
            deliverNotice(link, "REAP", field(text, "job"));
        } else if (text.startsWith("CALL")) {
            deliver(link, text.substring(5, 21) + " OK 4\r\nmade\r\n");
        }
    }

    private void deliverNotice(LinkId link, String type, String job) {
        deliver(
                link,
                "{\"type\":\"" + type + "\",\"n\":" + ++noticeNumber + ",\"job\":\"" + job
                        + "\",\"state\":\"good\",\"took\":3,\"data\":\"bWFkZQ==\"}\n");
    }

    private static String field(String json, String name) {
        int at = json.indexOf("\"" + name + "\":\"") + name.length() + 4;
        return json.substring(at, json.indexOf('"', at));
    }

    @Override
    public void closeLink(LinkId link) {}

    @Override
    public void setPeerAddresses(InetSocketAddress kernel, InetSocketAddress announce) {
        // the links are simulated
    }

    @Override
    public void recheckConfig() {
        // there is no configuration to read
    }

    @Override
    public void sendReport(byte[] datagram) {}
}
