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
 * A kernel process as the protocol has it: runs what it is asked to, once for each job, tells how runs ended in numbered
 * notices of which it keeps the last 4,000, and may be killed and started anew. Bodies are {@code MARK rest}.
 */
public final class StandKernel implements AutoCloseable {
    private static final int NOTICES_KEPT = 4_000;
    private static final int SLOW_ONE_IN = 60; // runs that take
    private static final int SLOW = 2_200_000; // longer than anybody waits, microseconds

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
    private final List<String> notices = new ArrayList<>(); // without their numbers
    private long first = 1; // the number of the first of them
    private volatile boolean closed;

    /** One whose runs take 1 to 40 ms, and now and then longer than anybody waits. */
    public StandKernel(History history, int cores, long seed) throws IOException {
        this(history, cores, seed, chance -> chance.nextInt(SLOW_ONE_IN) == 0 ? SLOW : chance.nextInt(1, 40) * 1_000);
    }

    /**
     * @param history where runs are noted, null for nowhere
     * @param cores how many runs go on at once
     * @param work how long a run takes, microseconds
     */
    public StandKernel(History history, int cores, long seed, ToIntFunction<SplittableRandom> work) throws IOException {
        this.history = history;
        this.work = work;
        most = cores;
        this.cores = Executors.newScheduledThreadPool(1);
        chance = new SplittableRandom(seed);
        server = new ServerSocket();
        server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        thread(this::accept);
    }

    private static void thread(Runnable run) {
        Thread t = new Thread(run, "stand-in kernel");
        t.setDaemon(true);
        t.start();
    }

    public int port() {
        return server.getLocalPort();
    }

    /** Results get up to so many bytes more. */
    public void resultsUpTo(int bytes) {
        longest = bytes;
    }

    /** From now on every run makes so many calls to the store, one after the other, before it ends. */
    public void runsCall(int times) {
        calls = times;
    }

    /** Kills it and starts it anew: what ran is gone, and nobody hears how it ended. */
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
                Socket s = server.accept();
                s.setTcpNoDelay(true);
                thread(() -> serve(s));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket s) {
        try (BufferedReader in =
                new BufferedReader(new InputStreamReader(s.getInputStream(), StandardCharsets.UTF_8))) {
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                command(s, fields(line));
            }
        } catch (IOException e) {
            return; // the other side has gone
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

    private void command(Socket s, Map<String, String> c) throws IOException {
        synchronized (lock) {
            switch (c.get("type")) {
                case "OPEN" -> open(s, Long.parseLong(c.get("n")));
                case "SCHED" ->
                    run(c.get("job"), new String(Base64.getDecoder().decode(c.get("data")), StandardCharsets.UTF_8));
                case "IODONE" -> called(c.get("job"));
                case "SYSINFO" ->
                    send(
                            s,
                            "{\"type\":\"INFO\",\"ref\":\"" + c.get("ref") + "\",\"gauges\":[" + (double) busy / most
                                    + "," + (busy + queue.size()) + ",0.2,0.1]}");
                default -> {}
            }
        }
    }

    private void open(Socket s, long n) throws IOException {
        drop();
        link = s;
        if (n == 0) {
            first = 1; // another process of the program: notices are numbered from 1 for it
        }
        send(s, "{\"type\":\"BOOTED\",\"state\":\"old\",\"took\":" + (System.nanoTime() - started) / 1_000_000 + "}");
        for (int i = 0; i < notices.size(); i++) {
            if (first + i > n) {
                send(s, notices.get(i).replace("N,", first + i + ","));
            }
        }
    }

    private void run(String job, String body) {
        if (!jobs.add(job)) {
            return;
        }
        String mark = body.split(" ")[0];
        String result = mark + "#" + ++serial + " " + "x".repeat(longest == 0 ? 0 : chance.nextInt(longest));
        if (history != null) {
            history.add(History.What.RUN, mark, job, result);
        }
        Run r = new Run(life, job, result, work.applyAsInt(chance), 0);
        if (busy < most) {
            begin(r);
        } else {
            queue.add(r);
        }
    }

    private record Run(int life, String job, String result, int work, int called) {}

    private void begin(Run r) {
        busy++;
        cores.schedule(() -> over(r), r.work, TimeUnit.MICROSECONDS);
    }

    private void over(Run r) {
        synchronized (lock) {
            if (r.life != life) {
                return;
            }
            if (r.called < calls) {
                atCall.put(r.job, r);
                tell("{\"type\":\"IOREQ\",\"n\":N,\"job\":\"" + r.job + "\",\"data\":\"Y2FsbA==\"}");
                return;
            }
            busy--;
            if (!queue.isEmpty()) {
                begin(queue.remove());
            }
            String job = r.job;
            String result = r.result;
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

    /** The reply to a run's call has come: it ends after as long again. */
    private void called(String job) {
        Run r = atCall.remove(job);
        if (r != null) {
            cores.schedule(
                    () -> over(new Run(r.life, r.job, r.result, r.work, r.called + 1)), r.work, TimeUnit.MICROSECONDS);
        }
    }

    private static void send(Socket s, String line) {
        try {
            if (s != null) {
                OutputStream out = s.getOutputStream();
                out.write((line + "\n").getBytes(StandardCharsets.UTF_8));
                out.flush();
            }
        } catch (IOException e) {
            return; // told again on the next link
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
