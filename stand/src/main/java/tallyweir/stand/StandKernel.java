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
import java.util.function.ToIntFunction;

/**
 * A stand-in for the kernel process that follows its protocol: it runs each scheduled job once, reports the ends of runs in
 * numbered notices, of which it retains the last 4,000, and can be killed and restarted. The first word of a request body is the
 * idempotency key. Safe for use by several threads.
 */
public final class StandKernel implements AutoCloseable {
    private static final int NOTICES_KEPT = 4_000;
    private static final int SLOW_ONE_IN = 60; // one run in this many is slow
    private static final int SLOW = 2_200_000; // longer than any caller waits

    private final History history;
    private final ServerSocket server;
    private final SplittableRandom chance;
    private final ToIntFunction<SplittableRandom> work;
    private final ScheduledExecutorService cores;
    private final Object lock = new Object();
    private long started = System.nanoTime();
    private int longest;
    private volatile int calls;
    private final Map<String, Run> atCall = new HashMap<>();
    private int life;
    private final int most;
    private int busy;
    private final ArrayDeque<Run> queue = new ArrayDeque<>();
    private long serial;
    private Socket link;
    private final Set<String> jobs = new HashSet<>();
    private final List<String> notices = new ArrayList<>(); // with N in place of their numbers
    private long first = 1; // the number of the first retained notice
    private volatile boolean closed;

    /** Creates a kernel whose runs take 1 to 40 ms, and occasionally longer than any caller waits. */
    public StandKernel(History history, int cores, long seed) throws IOException {
        this(history, cores, seed, random -> random.nextInt(SLOW_ONE_IN) == 0 ? SLOW : random.nextInt(1, 40) * 1_000);
    }

    /**
     * Starts listening on a free port of loopback.
     *
     * @param history where runs are recorded, or null
     * @param cores the number of concurrent runs
     * @param runDurationUs draws the duration of a run, in microseconds
     */
    public StandKernel(History history, int cores, long seed, ToIntFunction<SplittableRandom> runDurationUs)
            throws IOException {
        this.history = history;
        this.work = runDurationUs;
        most = cores;
        this.cores = Executors.newScheduledThreadPool(1);
        chance = new SplittableRandom(seed);
        server = new ServerSocket();
        server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        thread(this::accept);
    }

    private static void thread(Runnable run) {
        Thread thread = new Thread(run, "stand-in kernel");
        thread.setDaemon(true);
        thread.start();
    }

    /** The port on which it listens. */
    public int port() {
        return server.getLocalPort();
    }

    /** Appends up to so many bytes, drawn at random, to every later result. */
    public void resultsUpTo(int bytes) {
        longest = bytes;
    }

    /** Makes every run perform so many calls to the store from now on, one after the other, before it ends. */
    public void runsCall(int count) {
        calls = count;
    }

    /** Simulates a kill and restart: all runs and notices are lost, and their ends are never reported. */
    public void kill() {
        synchronized (lock) {
            life++;
            jobs.clear();
            notices.clear();
            queue.clear();
            busy = 0;
            first = 1;
            started = System.nanoTime();
            drop();
        }
    }

    private void drop() {
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
                thread(() -> serve(accepted));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (BufferedReader in =
                new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8))) {
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                command(socket, fields(line));
            }
        } catch (IOException e) {
            return; // the client has disconnected
        }
    }

    private static Map<String, String> fields(String line) throws IOException {
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

    private void command(Socket socket, Map<String, String> fields) throws IOException {
        synchronized (lock) {
            switch (fields.get("type")) {
                case "OPEN" -> open(socket, Long.parseLong(fields.get("n")));
                case "SCHED" ->
                    run(
                            fields.get("job"),
                            new String(Base64.getDecoder().decode(fields.get("data")), StandardCharsets.UTF_8));
                case "IODONE" -> called(fields.get("job"));
                case "SYSINFO" ->
                    send(
                            socket,
                            "{\"type\":\"INFO\",\"ref\":\"" + fields.get("ref") + "\",\"gauges\":["
                                    + (double) busy / most + "," + (busy + queue.size()) + ",0.2,0.1]}");
                default -> {}
            }
        }
    }

    private void open(Socket socket, long lastReceived) throws IOException {
        drop();
        link = socket;
        if (lastReceived == 0) {
            first = 1; // a new process of the program, for which notices are numbered from 1
        }
        send(
                socket,
                "{\"type\":\"BOOTED\",\"state\":\"old\",\"took\":" + (System.nanoTime() - started) / 1_000_000 + "}");
        for (int i = 0; i < notices.size(); i++) {
            if (first + i > lastReceived) {
                send(socket, notices.get(i).replace("N,", first + i + ","));
            }
        }
    }

    private void run(String job, String body) {
        if (!jobs.add(job)) {
            return;
        }
        String key = body.split(" ")[0];
        String result = key + "#" + ++serial + " " + "x".repeat(longest == 0 ? 0 : chance.nextInt(longest));
        if (history != null) {
            history.add(History.What.RUN, key, job, result);
        }
        Run run = new Run(life, job, result, work.applyAsInt(chance), 0);
        if (busy < most) {
            begin(run);
        } else {
            queue.add(run);
        }
    }

    private record Run(int life, String job, String result, int work, int called) {}

    private void begin(Run run) {
        busy++;
        cores.schedule(() -> over(run), run.work, TimeUnit.MICROSECONDS);
    }

    private void over(Run run) {
        synchronized (lock) {
            if (run.life != life) {
                return;
            }
            if (run.called < calls) {
                atCall.put(run.job, run);
                tell("{\"type\":\"IOREQ\",\"n\":N,\"job\":\"" + run.job + "\",\"data\":\"Y2FsbA==\"}");
                return;
            }
            busy--;
            if (!queue.isEmpty()) {
                begin(queue.remove());
            }
            String job = run.job;
            String result = run.result;
            String notice =
                    "{\"type\":\"REAP\",\"n\":N,\"job\":\"" + job + "\",\"state\":\"good\",\"took\":1,\"data\":\""
                            + Base64.getEncoder().encodeToString(result.getBytes(StandardCharsets.UTF_8)) + "\"}";
            tell(notice);
        }
    }

    private void tell(String notice) {
        notices.add(notice);
        if (notices.size() > NOTICES_KEPT) {
            notices.remove(0);
            first++;
        }
        send(link, notice.replace("N,", first + notices.size() - 1 + ","));
    }

    /** Handles the reply to a run's call: the run continues for its duration once more. */
    private void called(String job) {
        Run run = atCall.remove(job);
        if (run != null) {
            cores.schedule(
                    () -> over(new Run(run.life, run.job, run.result, run.work, run.called + 1)),
                    run.work,
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
        cores.shutdownNow();
        synchronized (lock) {
            drop();
        }
    }
}
