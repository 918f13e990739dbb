package tallyweir;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import tallyweir.Model.FcgiAnswer;
import tallyweir.backend.Backend;
import tallyweir.backend.Links;
import tallyweir.backend.Peer;
import tallyweir.config.Config;
import tallyweir.ids.ConnectionId;
import tallyweir.ids.LinkId;
import tallyweir.results.ResultStore;

/** The simplest possible sidecars, kernel and store. Times are in tenths of a millisecond. */
final class Simulation implements Links {
    static final String CONFIG = """
            {"name":"n3","listen":"127.0.0.1:0","kernel":"127.0.0.1:1","announce":"127.0.0.1:2","store":"127.0.0.1:3",
             "seed":"8c1f30d27a5be964","stop_ms":3200,"limits":{"cores":1.0,"memory_mb":192,"sockets":64},
             "settings":{"Classes":[{"Name":"c","Effect":"safe","TargetUs":1800000,"DeadlineUs":4600000,"Worth":1},
              {"Name":"k","Effect":"keyed","TargetUs":1800000,"DeadlineUs":4600000,"Worth":3,"RepeatWindowUs":5000000},
              {"Name":"u","Effect":"unsafe","TargetUs":1800000,"DeadlineUs":4600000,"Worth":2}],
              "FamilyInfo":{"Cpus":2,"MemLimitKb":9000,"RunMemFactor":4,"EntryKb":30,"Halt":"abort","IdleUs":30000000,
               "Gauges":["core_use","on_cores"],"PassesDeadline":true,"CallsOut":4,"ShareSpanUs":5000000,
               "LingerUs":200000,"ClassCalls":[true,true,true],"ShareForUs":1000000},
              "Projects":[{"Name":"a","QuotaPerS":80}],"RoundUs":5000,"Servers":4,
              "Permissions":{"RetryAfter":true,"MaxRetryAfterUs":1000000},
              "Rules":{"AnswerSlackUs":60000,"DrainGraceUs":1000000,"FallMultiple":8,"FallUs":3000000}}}""";
    static final long SLACK_TENTHS_MS = 600 + 500;
    static final int MAX_CALLERS =
            28; // caller connections that fit into 64 sockets beside those that the process itself needs

    /** A request as its sidecar sees it. */
    static final class Request {
        int conn;
        int id;
        String job;
        String workload;
        String body;
        long deadline;
        boolean complete;
        boolean valid = true;
        boolean aborted;
        int answers;
        FcgiAnswer answer;
        int runCount;
        boolean callAllowed = true; // whether no earlier call of it can have had an effect
        String result;
    }

    int configRechecks;

    @Override
    public void setPeerAddresses(InetSocketAddress kernel, InetSocketAddress announce) {
        throw new IllegalStateException("this test has no fleet");
    }

    @Override
    public void recheckConfig() {
        configRechecks++;
    }

    final Backend backend;
    final Map<Integer, ByteArrayOutputStream> callerOutput = new LinkedHashMap<>();
    final Map<Integer, Integer> checkedAnswers = new HashMap<>();
    final List<Request> requests = new ArrayList<>();
    final Map<String, String> jobs = new LinkedHashMap<>(); // running or blocked on a call, by job id
    // Bodies of calls that the store is working on, by job id.
    final Map<String, String> calls = new LinkedHashMap<>();
    final Map<String, String> callBodies = new HashMap<>(); // body of the last call of each run, by job id
    final Map<String, String> expectedReplies = new HashMap<>(); // replies that the kernel must receive, by job id
    final List<String> log = new ArrayList<>();
    final List<String> violations = new ArrayList<>();
    final Map<LinkId, Peer> openingLinks = new LinkedHashMap<>();
    final Map<LinkId, Peer> openLinks = new LinkedHashMap<>();
    final Map<String, LinkId> callLinks = new HashMap<>();
    long now = 1_000_000;
    long wallOffset = 100_000_000; // offset of the wall clock from the monotonic clock
    long lastNotice;
    boolean kernelConnected;
    final List<Integer> closing = new ArrayList<>();
    final Set<Integer> unread = new HashSet<>(); // connections with bytes that have not been read yet
    boolean moreExpected; // whether what callers send is followed by more that is unread
    boolean callersWaiting; // whether callers are waiting to be accepted
    String gaugesTag;
    LinkId gaugesLink; // the link on which the gauges were last requested
    boolean kernelReadsLate; // commands stay unread until readCommands
    final ArrayDeque<String> unreadCommands = new ArrayDeque<>();
    private final ArrayDeque<String> refusedRuns = new ArrayDeque<>(); // not started as their requests are over

    Simulation() {
        this(CONFIG, null, 1_000_000);
    }

    /** Stops runs in the given way, by the word of the settings. */
    Simulation(String halt) {
        this(CONFIG.replace("\"Halt\":\"abort\"", "\"Halt\":\"" + halt + "\""), null, 1_000_000);
    }

    /** Retains results over restarts in the given store; the process starts at the given time. */
    Simulation(ResultStore resultStore, long startAt) {
        this(CONFIG, resultStore, startAt);
    }

    private Simulation(String config, ResultStore resultStore, long startAt) {
        now = startAt;
        backend = new Backend(
                this, Config.parse(config.getBytes(UTF_8), Map.of()), startAt, startAt + wallOffset, resultStore);
    }

    void updateClock() {
        backend.updateClock(now, now + wallOffset);
    }

    void boot() {
        updateClock();
        backend.start();
        connectKernel();
    }

    static LinkId lastLink(Map<LinkId, Peer> of, Peer peer) {
        return of.keySet().stream()
                .filter(l -> of.get(l) == peer)
                .reduce((a, b) -> b)
                .orElse(null);
    }

    boolean isOpening(Peer peer) {
        return openingLinks.containsValue(peer);
    }

    /** Opens the link that was last requested. */
    LinkId openLink(Peer peer) {
        updateClock();
        LinkId link = lastLink(openingLinks, peer);
        openingLinks.remove(link);
        openLinks.put(link, peer);
        backend.linkUp(link);
        return link;
    }

    void refuseLink(Peer peer) {
        updateClock();
        LinkId link = lastLink(openingLinks, peer);
        openingLinks.remove(link);
        backend.linkDown(link, true);
    }

    void breakLink(Peer peer) {
        breakLink(lastLink(openLinks, peer));
    }

    void breakLink(LinkId link) {
        updateClock();
        loseCommands(link);
        openLinks.remove(link);
        calls.keySet().removeIf(job -> callLinks.get(job).equals(link));
        backend.linkDown(link, false);
    }

    /** What the kernel has not read is lost with its link. */
    private void loseCommands(LinkId link) {
        if (openLinks.get(link) == Peer.KERNEL) {
            unreadCommands.clear();
        }
    }

    void connectKernel() {
        if (isOpening(Peer.KERNEL)) {
            kernelConnected = true;
            LinkId present = lastLink(openLinks, Peer.KERNEL);
            openLink(Peer.KERNEL);
            if (present != null) {
                answerGauges();
            }
            sendFromKernel("{\"type\":\"BOOTED\",\"state\":\"old\",\"took\":" + (now / 10 - 99_999) + "}");
            readCommands();
            sendFromKernel("{\"type\":\"INFO\",\"ref\":\"resumed\",\"gauges\":[]}");
        }
    }

    void sendFromKernel(String line) {
        sendFromKernel(lastLink(openLinks, Peer.KERNEL), line);
    }

    void sendFromKernel(LinkId link, String line) {
        updateClock();
        backend.read(link, ByteBuffer.wrap((line + "\n").getBytes(UTF_8)));
    }

    /** Answers the last request for the gauges, on the link that it came on. */
    void answerGauges() {
        readCommands();
        sendFromKernel(gaugesLink, "{\"type\":\"INFO\",\"ref\":\"" + gaugesTag + "\",\"gauges\":[0.1,1]}");
    }

    /** The kernel reads all commands that have arrived. */
    void readCommands() {
        while (!unreadCommands.isEmpty()) {
            command(unreadCommands.remove());
        }
    }

    /** The run makes a call with this body. */
    void callStore(String job, String body) {
        jobs.put(job, "at call");
        requestOf(job).callAllowed = true;
        expectedReplies.remove(job);
        sendNotice("IOREQ", job, "", body);
    }

    /** The store answers the call of the run with this reply. */
    void replyFromStore(String job, String reply) {
        calls.remove(job);
        expectedReplies.put(job, reply);
        sendFromStore(job + " OK " + reply.length() + "\r\n" + reply + "\r\n");
    }

    void sendGauges() {
        readCommands();
        reportRefusedRuns();
        sendFromKernel("{\"type\":\"INFO\",\"ref\":\"" + gaugesTag + "\",\"gauges\":[0.1,1]}");
    }

    void endRun(String job, String state, String result) {
        jobs.remove(job);
        calls.remove(job);
        if (state.equals("good")) {
            requestOf(job).result = result;
        }
        sendNotice("REAP", job, state, result);
    }

    /** The run has ended, and the notice of it is not among those that the backend reads. */
    void missEnd(String job) {
        jobs.remove(job);
        lastNotice++;
        sendFromKernel("{\"type\":\"DMESG\",\"n\":" + ++lastNotice + ",\"state\":\"after a gap\"}");
    }

    void sendNotice(String type, String job, String state, String data) {
        if (type.equals("IOREQ")) {
            callBodies.put(job, data);
        }
        sendFromKernel("{\"type\":\"" + type + "\",\"n\":" + ++lastNotice + ",\"job\":\"" + job + "\",\"state\":\""
                + state + "\",\"took\":3,\"data\":\"" + Base64.getEncoder().encodeToString(data.getBytes(UTF_8))
                + "\"}");
    }

    void sendFromStore(String text) {
        sendFromStore(text, text.substring(0, 16));
    }

    /** Sends a line from the store on the link that carried a job's call. */
    void sendFromStore(String text, String job) {
        updateClock();
        backend.read(callLinks.get(job), ByteBuffer.wrap(text.getBytes(UTF_8)));
    }

    int openCaller() {
        updateClock();
        ConnectionId slot = backend.accepted();
        int conn = slot == null ? -1 : slot.value();
        if (slot != null) {
            callerOutput.put(conn, new ByteArrayOutputStream());
            checkedAnswers.put(conn, 0);
        }
        return conn;
    }

    Request request(int conn, String workload, String body, long callerTimeout, String key, String... more) {
        Request a = new Request();
        a.conn = conn;
        a.id = 1 + (int) requests.stream().filter(o -> o.conn == conn).count();
        a.job = String.format("%016x", requests.size() + 1);
        a.workload = workload;
        a.body = body;
        a.deadline = now + callerTimeout;
        requests.add(a);
        String[] fields = {
            "REQUEST_METHOD",
            "POST",
            "SCRIPT_NAME",
            "/do/" + workload,
            "HTTP_REQUEST_ID",
            a.job,
            "HTTP_RECEIVED_AT",
            "" + (now + 100_000_000) / 10,
            "HTTP_SENT_BY",
            "4",
            "HTTP_ACCOUNT",
            "a",
            "HTTP_BUDGET_MS",
            "" + callerTimeout / 10,
            "HTTP_FOOTPRINT_KB",
            "24.5",
            "HTTP_PRIORITY_RANK",
            "0.6250",
            workload.equals("k") ? "HTTP_ONCE_KEY" : key == null ? "X" : "HTTP_RESOURCE_KEY",
            key == null ? "" : key
        };
        fields = Arrays.copyOf(fields, fields.length + more.length);
        System.arraycopy(more, 0, fields, fields.length - more.length, more.length);
        send(conn, Model.request(a.id, body.getBytes(UTF_8), false, 3, fields));
        a.complete = true;
        return a;
    }

    void send(int conn, byte[] bytes) {
        updateClock();
        backend.read(new ConnectionId(conn), ByteBuffer.wrap(bytes), moreExpected);
    }

    void disconnectCaller(int conn) {
        updateClock();
        callerOutput.remove(conn);
        requests.stream().filter(a -> a.conn == conn).forEach(a -> a.aborted = true);
        requests.stream().filter(a -> a.conn == conn).forEach(a -> a.conn = -1);
        backend.closed(new ConnectionId(conn));
    }

    void advance(long duration) {
        for (long end = now + duration; now < end; ) {
            now = Math.min(end, Math.max(now + 1, backend.nextDeadline()));
            updateClock();
            backend.runDue();
            check();
            closePending();
            reportRefusedRuns();
        }
    }

    /** The kernel tells of the runs that it has not started; without a link it does so on the next one. */
    private void reportRefusedRuns() {
        while (openLinks.containsValue(Peer.KERNEL) && !refusedRuns.isEmpty()) {
            sendNotice("REAP", refusedRuns.remove(), "gone", "");
        }
    }

    void closePending() {
        List.copyOf(closing).forEach(this::disconnectCaller);
        closing.clear();
    }

    Request requestOf(String job) {
        return requests.stream().filter(a -> a.job.equals(job)).findFirst().orElseThrow();
    }

    List<FcgiAnswer> answers(int conn) {
        return Model.answers(callerOutput.get(conn).toByteArray());
    }

    void check() {
        callerOutput.forEach((conn, bytes) -> {
            List<FcgiAnswer> all = answers(conn);
            all.subList(checkedAnswers.put(conn, all.size()), all.size()).forEach(w -> answered(conn, w));
        });
        requests.stream()
                .filter(a -> a.complete && !a.aborted && a.answers == 0 && now > a.deadline + SLACK_TENTHS_MS)
                .forEach(a -> violationIf(++a.answers == 1, "no answer to " + a.job));
    }

    void answered(int conn, FcgiAnswer w) {
        log.add("answered " + w.id() + " " + w.status());
        for (Request a : requests) {
            if (a.conn == conn && a.id == w.id()) {
                a.answers++;
                a.answer = w;
                violationIf(a.answers > 1, "answered twice " + a.job);
                violationIf(
                        w.status() == 200
                                && requests.stream()
                                        .noneMatch(o -> o.workload.equals(a.workload)
                                                && w.body().equals(o.result)),
                        "answered with a result that no run returned " + a.job);
                violationIf(
                        w.status() == 503 && a.runCount > 0 && !a.workload.equals("c"),
                        "deferred after it had run " + a.job);
                violationIf(!a.valid && w.status() / 100 != 4, "accepted though malformed " + a.job);
            }
        }
    }

    void violationIf(boolean broken, String what) {
        if (broken) {
            violations.add(what + " at " + now);
        }
    }

    long counter(String counter) {
        return backend.counters().all().get(counter);
    }

    @Override
    public void sendToCaller(ConnectionId caller, byte[] bytes) {
        if (callerOutput.containsKey(caller.value())) {
            callerOutput.get(caller.value()).writeBytes(bytes);
        }
    }

    @Override
    public void halfCloseCaller(ConnectionId caller) {
        log.add("close " + caller.value());
        check();
        closing.add(caller.value());
    }

    @Override
    public boolean isQuiet(ConnectionId caller) {
        return !unread.contains(caller.value());
    }

    @Override
    public boolean halfCloseIfQuiet(ConnectionId caller) {
        if (!unread.contains(caller.value())) {
            halfCloseCaller(caller);
        }
        return !unread.contains(caller.value());
    }

    @Override
    public void closeCaller(ConnectionId caller) {
        log.add("drop " + caller.value());
        closing.add(caller.value());
    }

    @Override
    public boolean closeStuckCaller() {
        return false;
    }

    @Override
    public void stopListening() {
        log.add("listens no more");
    }

    @Override
    public boolean areCallersWaiting() {
        return callersWaiting;
    }

    @Override
    public void connect(LinkId link, Peer peer, InetSocketAddress at) {
        openingLinks.put(link, peer);
    }

    @Override
    public void sendToPeer(LinkId link, byte[] bytes) {
        String text = new String(bytes, ISO_8859_1);
        log.add(openLinks.get(link) + " " + text.strip());
        if (openLinks.get(link) == Peer.KERNEL) {
            gaugesLink = text.contains("SYSINFO") ? link : gaugesLink;
            unreadCommands.add(text);
            if (!kernelReadsLate) {
                readCommands();
            }
        } else if (text.startsWith("CALL")) {
            String job = text.substring(5, 21);
            String body = text.substring(text.indexOf("\r\n") + 2, text.length() - 2);
            violationIf(!body.equals(callBodies.get(job)), "a call's body was changed");
            violationIf(!requestOf(job).callAllowed && !requestOf(job).workload.equals("c"), "call repeated " + job);
            requestOf(job).callAllowed = false;
            violationIf(calls.keySet().stream().anyMatch(o -> callLinks.get(o).equals(link)), "two calls on one link");
            calls.put(job, body);
            violationIf(
                    link.equals(callLinks.put(job, link)),
                    "a second call on a link where a copy of the first reply may still arrive");
        }
    }

    void command(String text) {
        if (text.contains("SYSINFO")) {
            gaugesTag = field(text, "ref");
            return;
        }
        if (text.contains("OPEN")) {
            violationIf(
                    !text.contains("\"n\":" + lastNotice + "}"), "OPEN does not carry the number of the last notice");
            return;
        }
        String job = field(text, "job");
        String data = new String(Base64.getDecoder().decode(field(text, "data")), UTF_8);
        Request a = requestOf(job);
        if (text.contains("SCHED") && !jobs.containsKey(job) && (a.answers > 0 || a.aborted)) {
            refusedRuns.add(job);
        } else if (text.contains("SCHED") && !jobs.containsKey(job)) {
            violationIf(
                    !field(text, "kind").equals(a.workload) || !data.equals(a.body),
                    "run with another workload or body " + job);
            violationIf(!a.valid, "run though malformed " + job);
            a.runCount++;
            violationIf(a.runCount > 1 && !a.workload.equals("c"), "run twice " + job);
            jobs.put(job, "runs");
        } else if (text.contains("IODONE")) {
            violationIf(!data.equals(expectedReplies.get(job)), "a reply differs from what the store sent " + job);
            jobs.replace(job, "runs");
        }
    }

    static String field(String json, String name) {
        int at = json.indexOf("\"" + name + "\":\"");
        return at < 0 ? "" : json.substring(at + name.length() + 4, json.indexOf('"', at + name.length() + 4));
    }

    @Override
    public void closeLink(LinkId link) {
        loseCommands(link);
        log.add("drop " + (openLinks.containsKey(link) ? openLinks.remove(link) : openingLinks.remove(link)));
        calls.keySet().removeIf(job -> callLinks.get(job).equals(link));
    }

    @Override
    public void sendReport(byte[] datagram) {
        log.add(new String(datagram, UTF_8));
    }
}
