package review;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A kernel as the protocol page has it. A run is a list of phases on the cores with a call to the store between two of them. Any
 * number of addresses leads to the one kernel; a new link replaces the one before.
 */
final class Kernel implements AutoCloseable {
    private static final Pattern FIELD = Pattern.compile("\"(\\w+)\":(?:\"((?:[^\"\\\\]|\\\\.)*)\"|([-0-9.]+))");

    private static final class Run {
        Req req;
        int[] phasesMs;
        int phase;
        byte[] call; // the body of the call that it waits for, null while it waits for none
        boolean onCore;
        boolean stopped;
        final StringBuilder replies = new StringBuilder();
    }

    private final World world;
    private final String name;
    private final int cores;
    private final Function<Req, int[]> phases;
    private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(1, r -> daemon(r));
    private final List<ServerSocket> listeners = new ArrayList<>();
    private final Map<String, Run> runs = new HashMap<>();
    private final ArrayDeque<Run> waiting = new ArrayDeque<>();
    private final LinkedHashMap<Long, String> notices = new LinkedHashMap<>();
    private long startedAt = System.nanoTime();
    private boolean up = true;
    private Socket opened; // a link that waits for the kernel to be up
    private final boolean fresh;
    private long lastNotice;
    private int busy;
    private Socket link;
    volatile int links;
    volatile int repliesIgnored; // replies to runs that wait for no call

    Kernel(World world, String name, int cores, boolean fresh, Function<Req, int[]> phases) {
        this.world = world;
        this.name = name;
        this.cores = cores;
        this.fresh = fresh;
        this.phases = phases;
    }

    private static Thread daemon(Runnable r) {
        Thread t = new Thread(r);
        t.setDaemon(true);
        return t;
    }

    /** A further address that leads to this kernel; returns its port. */
    int listen() throws IOException {
        return listen(0);
    }

    /** The same at a given port. */
    int listen(int port) throws IOException {
        ServerSocket s = new ServerSocket();
        s.setReuseAddress(true);
        for (int tries = 0; ; tries++) { // the listener before it may need a moment to end
            try {
                s.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 100);
                break;
            } catch (java.net.BindException e) {
                if (tries == 20) {
                    throw e;
                }
                java.util.concurrent.locks.LockSupport.parkNanos(50_000_000);
            }
        }
        listeners.add(s);
        daemon(() -> {
                    while (true) {
                        try {
                            Socket socket = s.accept();
                            socket.setTcpNoDelay(true);
                            daemon(() -> serve(socket)).start();
                        } catch (IOException e) {
                            return;
                        }
                    }
                })
                .start();
        return s.getLocalPort();
    }

    private void serve(Socket socket) {
        try (BufferedReader in =
                new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1))) {
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                Map<String, String> fields = new HashMap<>();
                Matcher m = FIELD.matcher(line);
                while (m.find()) {
                    fields.put(m.group(1), m.group(2) != null ? m.group(2) : m.group(3));
                }
                synchronized (this) {
                    command(socket, fields);
                }
            }
        } catch (IOException e) {
            return;
        }
    }

    private void command(Socket socket, Map<String, String> f) throws IOException {
        String job = f.get("job");
        if (!up) {
            if (f.get("type").equals("OPEN")) {
                opened = socket;
                world.note(name + " is not up: the link waits for BOOTED");
            }
            return;
        }
        switch (f.get("type")) {
            case "OPEN" -> open(socket, Long.parseLong(f.get("n")));
            case "SCHED" -> schedule(socket, job, f.get("kind"), Base64.getDecoder().decode(f.get("data")));
            case "PREEMPT" -> stop(job);
            case "IODONE" -> reply(job, Base64.getDecoder().decode(f.get("data")));
            case "SYSINFO" ->
                send(
                        socket,
                        "{\"type\":\"INFO\",\"ref\":\"" + f.get("ref") + "\",\"gauges\":[" + (double) busy / cores + ","
                                + (busy + waiting.size()) + ",0.1,0.1]}");
            default -> socket.close();
        }
    }

    /** From here on links are accepted and BOOTED waits until {@link #boot}. */
    synchronized void holdBack() {
        up = false;
    }

    /** The kernel comes up. */
    synchronized void boot() throws IOException {
        up = true;
        startedAt = System.nanoTime();
        world.note(name + " comes up");
        if (opened != null) {
            open(opened, 0);
        }
    }

    private void open(Socket socket, long n) throws IOException {
        if (link != null && link != socket) {
            link.close();
        }
        link = socket;
        links++;
        world.note(name + " link " + links + " opens, last notice read " + n + " of " + lastNotice);
        if (n == 0) { // numbered from 1 at each start of the backend
            notices.clear();
            lastNotice = 0;
        }
        send(
                socket,
                "{\"type\":\"BOOTED\",\"state\":\"" + (fresh ? "new" : "old") + "\",\"took\":"
                        + (System.nanoTime() - startedAt) / 1_000_000 + "}");
        notices.forEach((number, text) -> {
            if (number > n) {
                send(socket, text);
            }
        });
    }

    private void schedule(Socket socket, String job, String kind, byte[] body) {
        Req req = world.requests.get(job);
        if (req == null || !req.cls.equals(kind) || !Arrays.equals(req.body, body)) {
            world.broken("a class or body reached the kernel changed: " + job);
            send(socket, "{\"type\":\"EINVAL\",\"state\":\"SCHED\",\"job\":\"" + job + "\"}");
            return;
        }
        if (runs.containsKey(job)) {
            return;
        }
        if (req.over()) {
            notice("\"type\":\"REAP\"", "\"job\":\"" + job + "\",\"state\":\"gone\",\"took\":0");
            return;
        }
        Run run = new Run();
        run.req = req;
        run.phasesMs = phases.apply(req);
        runs.put(job, run);
        req.runs++;
        world.note(name + " runs " + job + " " + kind);
        waiting.add(run);
        startWaiting();
    }

    private void startWaiting() {
        while (busy < cores && !waiting.isEmpty()) {
            Run run = waiting.poll();
            if (run.stopped) {
                continue;
            }
            busy++;
            run.onCore = true;
            timer.schedule(() -> phaseEnds(run), run.phasesMs[run.phase] * 1_000L, TimeUnit.MICROSECONDS);
        }
    }

    private synchronized void phaseEnds(Run run) {
        if (run.stopped) {
            return;
        }
        busy--;
        run.onCore = false;
        run.phase++;
        String job = run.req.job;
        if (run.phase == run.phasesMs.length) {
            runs.remove(job);
            byte[] result = ("result of " + job + run.replies).getBytes(StandardCharsets.ISO_8859_1);
            world.note(name + " ends " + job);
            notice(
                    "\"type\":\"REAP\"",
                    "\"job\":\"" + job + "\",\"state\":\"good\",\"took\":1,\"data\":\""
                            + Base64.getEncoder().encodeToString(result) + "\"");
        } else if (run.req.over()) {
            runs.remove(job);
            notice("\"type\":\"REAP\"", "\"job\":\"" + job + "\",\"state\":\"cut\",\"took\":1");
        } else {
            run.call = ("call " + run.phase + " of " + job).getBytes(StandardCharsets.ISO_8859_1);
            world.note(name + " asks for call " + run.phase + " of " + job);
            notice(
                    "\"type\":\"IOREQ\"",
                    "\"job\":\"" + job + "\",\"data\":\"" + Base64.getEncoder().encodeToString(run.call) + "\"");
        }
        startWaiting();
    }

    private void stop(String job) {
        Run run = runs.get(job);
        if (run != null) {
            end(run);
        }
    }

    /** The request of a run is over: a run that waits for a call ends there. */
    synchronized void over(Req req) {
        Run run = runs.get(req.job);
        if (run != null && run.call != null) {
            end(run);
        }
    }

    private void end(Run run) {
        run.stopped = true;
        runs.remove(run.req.job);
        busy -= run.onCore ? 1 : 0;
        waiting.remove(run);
        notice("\"type\":\"REAP\"", "\"job\":\"" + run.req.job + "\",\"state\":\"cut\",\"took\":1");
        startWaiting();
    }

    private void reply(String job, byte[] data) {
        Run run = runs.get(job);
        String text = new String(data, StandardCharsets.ISO_8859_1);
        if (run == null || run.call == null) {
            repliesIgnored++;
            world.note(name + " has a reply for " + job + ", which waits for no call: " + text);
            return;
        }
        String expected = "reply to " + new String(run.call, StandardCharsets.ISO_8859_1);
        if (!text.equals(expected)) {
            world.broken(name + ": the run of " + job + " (" + run.req.cls + ") waits for '" + expected + "' and is given '"
                    + text + "'");
        } else {
            world.note(name + " has the " + text);
        }
        run.replies.append("; ").append(text);
        run.call = null;
        waiting.add(run);
        startWaiting();
    }

    private void notice(String head, String tail) {
        long n = ++lastNotice;
        String text = "{" + head + ",\"n\":" + n + "," + tail + "}";
        notices.put(n, text);
        if (notices.size() > 4_000) {
            notices.remove(notices.keySet().iterator().next());
        }
        if (link != null) {
            send(link, text);
        }
    }

    private static void send(Socket socket, String line) {
        try {
            socket.getOutputStream().write((line + "\n").getBytes(StandardCharsets.ISO_8859_1));
        } catch (IOException e) {
            return; // told again on the next link
        }
    }

    /** Ends the link, as a broken connection does. */
    synchronized void breakLink() {
        try {
            if (link != null) {
                link.setSoLinger(true, 0);
                link.close();
            }
        } catch (IOException e) {
            // it has ended by itself
        }
        link = null;
    }

    @Override
    public void close() throws IOException {
        for (ServerSocket s : listeners) {
            s.close();
        }
        timer.shutdownNow();
        synchronized (this) {
            if (link != null) {
                link.close();
            }
        }
    }
}
