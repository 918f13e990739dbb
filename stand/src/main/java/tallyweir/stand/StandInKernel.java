package tallyweir.stand;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.ToIntFunction;

/**
 * A stand-in for the kernel process that follows its protocol: it runs each scheduled job once, reports the ends of runs in
 * numbered notices, of which it retains the last 4,000, and can be killed and restarted. The first word of a request body is the
 * idempotency key. Safe for use by several threads.
 */
public final class StandInKernel implements AutoCloseable {
    private static final int MAX_RETAINED_NOTICES = 4_000;
    private static final int SLOW_ONE_IN = 60; // one run in this many is slow
    private static final int SLOW_RUN_US = 2_200_000; // longer than any caller waits

    private final History history;
    private final ServerSocket server;
    private final SplittableRandom random;
    private final ToIntFunction<SplittableRandom> runDurationUs;
    private final ScheduledExecutorService scheduler;
    private final Object lock = new Object();
    private long startedAt = System.nanoTime();
    private int maxExtraResultBytes;
    private volatile int callsPerRun;
    private volatile Consumer<String> scheduleListener = job -> {};
    private final Map<String, Run> blockedRuns = new HashMap<>();
    private int incarnation;
    private final int coreCount;
    private int running;
    private final ArrayDeque<Run> waitingRuns = new ArrayDeque<>();
    private long lastResultNumber;
    private Socket link;
    private final Set<String> jobs = new HashSet<>();
    private final List<String> notices = new ArrayList<>(); // with N in place of their numbers
    private long firstNotice = 1; // the number of the first retained notice
    private volatile boolean closed;

    /** Creates a kernel whose runs take 1 to 40 ms, and occasionally longer than any caller waits. */
    public StandInKernel(History history, int cores, long seed) throws IOException {
        this(
                history,
                cores,
                seed,
                random -> random.nextInt(SLOW_ONE_IN) == 0 ? SLOW_RUN_US : random.nextInt(1, 40) * 1_000);
    }

    /**
     * Starts listening on a free port of loopback.
     *
     * @param history where runs are recorded, or null
     * @param cores the number of concurrent runs
     * @param runDurationUs draws the duration of a run, in microseconds
     */
    public StandInKernel(History history, int cores, long seed, ToIntFunction<SplittableRandom> runDurationUs)
            throws IOException {
        this.history = history;
        this.runDurationUs = runDurationUs;
        coreCount = cores;
        this.scheduler = Executors.newScheduledThreadPool(1);
        random = new SplittableRandom(seed);
        server = new ServerSocket();
        server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        startThread(this::accept);
    }

    private static void startThread(Runnable run) {
        Thread thread = new Thread(run, "stand-in kernel");
        thread.setDaemon(true);
        thread.start();
    }

    /** The port on which it listens. */
    public int port() {
        return server.getLocalPort();
    }

    /** Appends up to so many bytes, drawn at random, to every later result. */
    public void setMaxExtraResultBytes(int bytes) {
        maxExtraResultBytes = bytes;
    }

    /** Makes every run perform so many calls to the store from now on, one after the other, before it ends. */
    public void setCallsPerRun(int count) {
        callsPerRun = count;
    }

    /** Simulates a kill and restart: all runs and notices are lost, and their ends are never reported. */
    public void killAndRestart() {
        synchronized (lock) {
            incarnation++;
            jobs.clear();
            notices.clear();
            waitingRuns.clear();
            running = 0;
            firstNotice = 1;
            startedAt = System.nanoTime();
            dropLink();
        }
    }

    private void dropLink() {
        try {
            if (link != null) {
                link.close();
            }
        } catch (IOException e) {
            link = null;
        }
        link = null;
    }

    private void accept() {
        while (!closed) {
            try {
                Socket accepted = server.accept();
                accepted.setTcpNoDelay(true);
                startThread(() -> serve(accepted));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (BufferedReader in =
                new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8))) {
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                onCommand(socket, parseFields(line));
            }
        } catch (IOException e) {
            return; // the client has disconnected
        }
    }

    private static Map<String, String> parseFields(String line) throws IOException {
        Map<String, String> fields = new HashMap<>();
        try (JsonParser in = new JsonFactory().createParser(line)) {
            in.nextToken();
            while (in.nextToken() == JsonToken.FIELD_NAME) {
                String name = in.currentName();
                in.nextToken();
                fields.put(name, in.getText());
            }
        }
        return fields;
    }

    private void onCommand(Socket socket, Map<String, String> fields) throws IOException {
        synchronized (lock) {
            switch (fields.get("type")) {
                case "OPEN" -> onOpen(socket, Long.parseLong(fields.get("n")));
                case "SCHED" ->
                    onSchedule(
                            fields.get("job"),
                            new String(Base64.getDecoder().decode(fields.get("data")), StandardCharsets.UTF_8));
                case "IODONE" -> onCallReply(fields.get("job"));
                case "SYSINFO" ->
                    send(
                            socket,
                            "{\"type\":\"INFO\",\"ref\":\"" + fields.get("ref") + "\",\"gauges\":["
                                    + (double) running / coreCount + "," + (running + waitingRuns.size())
                                    + ",0.2,0.1]}");
                default -> {}
            }
        }
    }

    private void onOpen(Socket socket, long lastReceived) throws IOException {
        dropLink();
        link = socket;
        if (lastReceived == 0) {
            firstNotice = 1; // a new process of the program, for which notices are numbered from 1
        }
        send(
                socket,
                "{\"type\":\"BOOTED\",\"state\":\"old\",\"took\":" + (System.nanoTime() - startedAt) / 1_000_000 + "}");
        for (int i = 0; i < notices.size(); i++) {
            if (firstNotice + i > lastReceived) {
                send(socket, notices.get(i).replace("N,", firstNotice + i + ","));
            }
        }
    }

    /** Passes the id of each query that it is told to run to a listener, also of one that it is told again. */
    public void setScheduleListener(Consumer<String> listener) {
        scheduleListener = listener;
    }

    private void onSchedule(String job, String body) {
        scheduleListener.accept(job);
        if (!jobs.add(job)) {
            return;
        }
        String key = body.split(" ")[0];
        String result = key + "#" + ++lastResultNumber + " "
                + "x".repeat(maxExtraResultBytes == 0 ? 0 : random.nextInt(maxExtraResultBytes));
        if (history != null) {
            history.add(History.EventType.RUN, key, job, result);
        }
        Run run = new Run(incarnation, job, result, runDurationUs.applyAsInt(random), 0);
        if (running < coreCount) {
            startRun(run);
        } else {
            waitingRuns.add(run);
        }
    }

    private record Run(int incarnation, String job, String result, int durationUs, int callsMade) {}

    private void startRun(Run run) {
        running++;
        scheduler.schedule(() -> onDurationElapsed(run), run.durationUs, TimeUnit.MICROSECONDS);
    }

    private void onDurationElapsed(Run run) {
        synchronized (lock) {
            if (run.incarnation != incarnation) {
                return;
            }
            if (run.callsMade < callsPerRun) {
                blockedRuns.put(run.job, run);
                sendNotice("{\"type\":\"IOREQ\",\"n\":N,\"job\":\"" + run.job + "\",\"data\":\"Y2FsbA==\"}");
                return;
            }
            running--;
            if (!waitingRuns.isEmpty()) {
                startRun(waitingRuns.remove());
            }
            String job = run.job;
            String result = run.result;
            String notice =
                    "{\"type\":\"REAP\",\"n\":N,\"job\":\"" + job + "\",\"state\":\"good\",\"took\":1,\"data\":\""
                            + Base64.getEncoder().encodeToString(result.getBytes(StandardCharsets.UTF_8)) + "\"}";
            sendNotice(notice);
        }
    }

    private void sendNotice(String notice) {
        notices.add(notice);
        if (notices.size() > MAX_RETAINED_NOTICES) {
            notices.remove(0);
            firstNotice++;
        }
        send(link, notice.replace("N,", firstNotice + notices.size() - 1 + ","));
    }

    /** Handles the reply to a run's call: the run continues for its duration once more. */
    private void onCallReply(String job) {
        Run run = blockedRuns.remove(job);
        if (run != null) {
            scheduler.schedule(
                    () -> onDurationElapsed(
                            new Run(run.incarnation, run.job, run.result, run.durationUs, run.callsMade + 1)),
                    run.durationUs,
                    TimeUnit.MICROSECONDS);
        }
    }

    private static void send(Socket socket, String line) {
        try {
            if (socket != null) {
                OutputStream out = socket.getOutputStream();
                out.write((line + "\n").getBytes(StandardCharsets.UTF_8));
                out.flush();
            }
        } catch (IOException e) {
            return; // sent again on the next link
        }
    }

    @Override
    public void close() throws IOException {
        closed = true;
        server.close();
        scheduler.shutdownNow();
        synchronized (lock) {
            dropLink();
        }
    }
}
