package rig;

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
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.ToIntFunction;

/**
 * A kernel by the protocol page: it runs what it is told to on its cores, first come first served, tells of ends and calls in
 * numbered notices and keeps the last 4,000. It takes a command up {@code commandDelayMs} after it was written, so that a break of
 * the link loses the commands of that time and no others.
 */
public final class Kernel implements AutoCloseable {
    private static final int KEPT = 4_000;

    /** A run; its result is made for this request alone. */
    public static final class Run {
        public final String job;
        public final String kind;
        public final byte[] body;
        public final int number; // of this request's runs
        boolean onCore;
        boolean ended;
        boolean atCall;
        int callsLeft;
        long beganAt;

        Run(String job, String kind, byte[] body, int number) {
            this.job = job;
            this.kind = kind;
            this.body = body;
            this.number = number;
        }
    }

    private final Log log;
    private final List<ServerSocket> servers = new ArrayList<>();
    private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(2);
    private final Map<String, Request> requests = new ConcurrentHashMap<>();
    private final Map<String, Run> runs = new HashMap<>(); // begun and not ended
    private final Map<String, Integer> runCounts = new HashMap<>();
    private final ArrayDeque<Run> waiting = new ArrayDeque<>();
    private final List<String> notices = new ArrayList<>(); // with N for their number
    private final int cores;
    private final ToIntFunction<Run> durationMs;
    public volatile int commandDelayMs;
    public volatile int resultBytes = 40;
    public volatile ToIntFunction<Run> calls = run -> 0;
    public volatile boolean logRuns = true;
    private long firstNotice = 1;
    private long startedAt = System.nanoTime();
    private int busy;
    private Socket link;
    private long linkNumber;
    public int breaks;
    public int lostCommands;
    private volatile java.util.function.Predicate<String> onCommand = line -> false;

    public Kernel(Log log, int cores, ToIntFunction<Run> durationMs) throws IOException {
        this.log = log;
        this.cores = cores;
        this.durationMs = durationMs;
        listen();
        timer.scheduleAtFixedRate(this::endWaitingRunsThatAreOver, 20, 20, TimeUnit.MILLISECONDS);
    }

    /** A run that stands at a call is ended there once its request is over. */
    private synchronized void endWaitingRunsThatAreOver() {
        for (Run r : List.copyOf(runs.values())) {
            if (r.atCall && !r.onCore && requests.get(r.job).over) {
                end(r, "cut", new byte[0]);
            }
        }
    }

    /** Listens on a further address and returns it. */
    public InetSocketAddress listen() throws IOException {
        ServerSocket s = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
        servers.add(s);
        thread(() -> {
            try {
                while (true) {
                    Socket c = s.accept();
                    c.setTcpNoDelay(true);
                    thread(() -> serve(c));
                }
            } catch (IOException e) {
                return;
            }
        });
        return (InetSocketAddress) s.getLocalSocketAddress();
    }

    static void thread(Runnable r) {
        Thread t = new Thread(r, "stand-in");
        t.setDaemon(true);
        t.start();
    }

    public String address() {
        return "127.0.0.1:" + servers.get(servers.size() - 1).getLocalPort();
    }

    /** The platform knows each request that comes to the backend, and when it is over. */
    public void know(Request r) {
        requests.put(r.id, r);
    }

    public synchronized int runsOf(String job) {
        return runCounts.getOrDefault(job, 0);
    }

    public synchronized int unfinished() {
        return runs.size();
    }

    /** Calls back for each command that arrives; if it returns true the link breaks before the command is taken up. */
    public void breakWhen(java.util.function.Predicate<String> condition) {
        onCommand = condition;
    }

    private void serve(Socket s) {
        try (BufferedReader in = new BufferedReader(new InputStreamReader(s.getInputStream(), StandardCharsets.UTF_8))) {
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                String command = line;
                if (field(line, "type").equals("OPEN")) {
                    open(s, Long.parseLong(field(line, "n")));
                    continue;
                }
                if (onCommand.test(line)) {
                    timer.schedule(this::breakLink, commandDelayMs / 2, TimeUnit.MILLISECONDS);
                }
                if (commandDelayMs > 0) {
                    long on = linkNumber;
                    timer.schedule(() -> takeUp(s, command, on), commandDelayMs, TimeUnit.MILLISECONDS);
                } else {
                    takeUp(s, command, linkNumber);
                }
            }
        } catch (IOException e) {
            return;
        }
    }

    /** Breaks the link: the commands that were written within commandDelayMs before are lost with it. */
    public synchronized void breakLink() {
        breaks++;
        linkNumber++;
        log.line("kernel: the link breaks");
        try {
            if (link != null) {
                link.close();
            }
        } catch (IOException e) {
            link = null;
        }
        link = null;
    }

    private synchronized void open(Socket s, long n) {
        if (link != null && link != s) {
            try {
                link.close();
            } catch (IOException e) {
                link = null;
            }
        }
        linkNumber++;
        link = s;
        log.line("kernel: OPEN " + n);
        if (n == 0) {
            firstNotice = 1; // a start of the backend: notices are numbered from 1
        }
        write("{\"type\":\"BOOTED\",\"state\":\"old\",\"took\":" + (System.nanoTime() - startedAt) / 1_000_000 + "}");
        for (int i = 0; i < notices.size(); i++) {
            if (firstNotice + i > n) {
                write(notices.get(i).replace("\"n\":N,", "\"n\":" + (firstNotice + i) + ","));
            }
        }
    }

    private synchronized void takeUp(Socket s, String line, long on) {
        if (on != linkNumber) {
            lostCommands++;
            log.line("kernel: lost with its link: " + head(line));
            return;
        }
        String job = field(line, "job");
        switch (field(line, "type")) {
            case "SCHED" -> sched(job, field(line, "kind"), Base64.getDecoder().decode(field(line, "data")));
            case "PREEMPT" -> {
                Run r = runs.get(job);
                if (r != null) {
                    end(r, "cut", new byte[0]);
                }
            }
            case "IODONE" -> {
                Run r = runs.get(job);
                if (r != null && r.atCall) {
                    r.atCall = false;
                    toCore(r);
                }
            }
            case "SYSINFO" -> write("{\"type\":\"INFO\",\"ref\":\"" + field(line, "ref") + "\",\"gauges\":["
                    + Math.min(1.0, (double) busy / cores) + "," + (busy + waiting.size()) + ",0.1,0.1]}");
            default -> log.line("kernel: what is this: " + head(line));
        }
    }

    private static String head(String line) {
        return line.length() > 90 ? line.substring(0, 90) : line;
    }

    private void sched(String job, String kind, byte[] body) {
        Request r = requests.get(job);
        if (runs.containsKey(job)) {
            return;
        }
        if (r == null || !r.workload.equals(kind) || !java.util.Arrays.equals(r.body, body)) {
            write("{\"type\":\"EINVAL\",\"state\":\"SCHED\",\"job\":\"" + job + "\"}");
            log.line("kernel: EINVAL " + job);
            return;
        }
        if (r.over) {
            notice("REAP", job, ",\"state\":\"gone\",\"took\":0,\"data\":\"\"");
            return;
        }
        int number = runCounts.merge(job, 1, Integer::sum);
        Run run = new Run(job, kind, body, number);
        run.callsLeft = calls.applyAsInt(run);
        runs.put(job, run);
        if (logRuns) {
            log.line("kernel: run " + number + " of " + job + " " + kind + " key " + r.key);
        }
        toCore(run);
    }

    private void toCore(Run run) {
        if (busy < cores) {
            begin(run);
        } else {
            waiting.add(run);
        }
    }

    private void begin(Run run) {
        busy++;
        run.onCore = true;
        run.beganAt = System.nanoTime();
        timer.schedule(() -> worked(run), Math.max(0, durationMs.applyAsInt(run)), TimeUnit.MILLISECONDS);
    }

    private synchronized void worked(Run run) {
        if (run.ended) {
            return;
        }
        leaveCore(run);
        Request r = requests.get(run.job);
        if (run.callsLeft > 0) {
            if (r.over) {
                end(run, "cut", new byte[0]);
                return;
            }
            run.callsLeft--;
            run.atCall = true;
            notice("IOREQ", run.job, ",\"data\":\""
                    + Base64.getEncoder().encodeToString(("call " + run.job).getBytes(StandardCharsets.US_ASCII)) + "\"");
            return;
        }
        StringBuilder result = new StringBuilder("result of " + run.job + " run " + run.number + " ");
        while (result.length() < resultBytes) {
            result.append((char) ('a' + result.length() * 7 % 26));
        }
        end(run, "good", result.toString().getBytes(StandardCharsets.US_ASCII));
    }

    private void leaveCore(Run run) {
        if (run.onCore) {
            run.onCore = false;
            busy--;
            if (!waiting.isEmpty()) {
                begin(waiting.poll());
            }
        }
    }

    private void end(Run run, String state, byte[] result) {
        waiting.remove(run);
        leaveCore(run);
        run.ended = true;
        runs.remove(run.job);
        notice("REAP", run.job, ",\"state\":\"" + state + "\",\"took\":1,\"data\":\""
                + Base64.getEncoder().encodeToString(result) + "\"");
    }

    private void notice(String type, String job, String rest) {
        String line = "{\"type\":\"" + type + "\",\"n\":N,\"job\":\"" + job + "\"" + rest + "}";
        notices.add(line);
        if (notices.size() > KEPT) {
            notices.remove(0);
            firstNotice++;
        }
        write(line.replace("\"n\":N,", "\"n\":" + (firstNotice + notices.size() - 1) + ","));
    }

    private void write(String line) {
        if (link == null) {
            return;
        }
        try {
            OutputStream out = link.getOutputStream();
            out.write((line + "\n").getBytes(StandardCharsets.UTF_8));
            out.flush();
        } catch (IOException e) {
            return;
        }
    }

    static String field(String json, String name) {
        int at = json.indexOf("\"" + name + "\":");
        if (at < 0) {
            return "";
        }
        at += name.length() + 3;
        if (json.charAt(at) == '"') {
            return json.substring(at + 1, json.indexOf('"', at + 1));
        }
        int end = at;
        while (end < json.length() && "-0123456789.".indexOf(json.charAt(end)) >= 0) {
            end++;
        }
        return json.substring(at, end);
    }

    /** A new kernel: nothing of the old one is left. */
    public synchronized void restart() {
        runs.values().forEach(r -> r.ended = true);
        runs.clear();
        waiting.clear();
        notices.clear();
        firstNotice = 1;
        busy = 0;
        startedAt = System.nanoTime();
        breakLink();
    }

    @Override
    public void close() throws IOException {
        for (ServerSocket s : servers) {
            s.close();
        }
        timer.shutdownNow();
    }
}
