package rig;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * A keyed request runs and is answered; its backend and the kernel are killed and start again under their addresses, with the store
 * of results. Near the end of the window a repeat comes to the machine while the process stands still for less than half a second.
 * TROUBLE=0: nothing is killed and nothing stands still.
 */
public final class LateRepeat extends Case {
    private static final int WINDOW_MS = 10_896;
    private static final int BEFORE_END_MS = 250; // the repeat comes to the machine so long before the window ends
    private static final int PAUSE_MS = 500;
    private static final String SETTINGS = "{\"Classes\":["
            + "{\"Name\":\"lookup\",\"Effect\":\"safe\",\"TargetUs\":2100000,\"DeadlineUs\":5200000,\"Worth\":1.0},"
            + "{\"Name\":\"reserve\",\"Effect\":\"keyed\",\"RepeatWindowUs\":" + WINDOW_MS + "000,\"TargetUs\":1500000,"
            + "\"DeadlineUs\":3600000,\"Worth\":3.0}],"
            + "\"FamilyInfo\":{\"Cpus\":2,\"MemLimitKb\":12000,\"RunMemFactor\":4,\"EntryKb\":20,\"Halt\":\"off\",\"IdleUs\":30000000,"
            + "\"PassesDeadline\":true,\"TellsGone\":true,\"ClassCalls\":[false,false],"
            + "\"Gauges\":[\"core_use\",\"on_cores\",\"heap_share\",\"links\"]},"
            + "\"Permissions\":{\"RetryAfter\":true,\"MaxRetryAfterUs\":1000000},\"RoundUs\":5000,"
            + "\"Rules\":{\"AnswerSlackUs\":60000,\"DrainGraceUs\":2000000,\"FallMultiple\":8,\"FallUs\":3000000}}";

    public static void main(String[] a) {
        run(new LateRepeat());
    }

    @Override
    protected boolean play() throws Exception {
        int port;
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            port = free.getLocalPort();
        }
        Kernel kernel = new Kernel(log, 2, run -> 100);
        Store store = new Store(log);
        Map<String, String> environment = Map.of(
                "EDGE_CONFIG",
                write("config.json", config("n0", "127.0.0.1:" + port, kernel.address(), store.address(), 3200, SETTINGS))
                        .toString(),
                "EDGE_OPERATORS",
                write("operators.json", "{\"results\":{\"bound_mb\":64},\"durable\":{\"dir\":\"" + temporary.resolve("durable") + "\"}}")
                        .toString());
        String command = Backend.runLine(root);
        Backend backend = new Backend(log, "n0", root, command, environment);
        backend.awaitReady(40);

        Request first = new Request("reserve", "copy 7", 3600).key("5f2b90c1d3e4a687");
        kernel.know(first);
        new Sidecar(backend.address()).send(first);
        Request.Answer a1 = first.answer.get(5, TimeUnit.SECONDS);
        log.say("the first try: " + a1.status() + " '" + a1.text().strip() + "'");
        if (a1.status() != 200) {
            throw new Backend.CannotRun("the first try was not served");
        }
        if (trouble) {
            Thread.sleep(500);
            backend.kill();
            kernel.restart();
            backend = new Backend(log, "n0", root, command, environment);
            backend.awaitReady(8);
        }
        Request early = repeat(kernel);
        new Sidecar(backend.address()).send(early);
        Request.Answer a2 = early.answer.get(5, TimeUnit.SECONDS);
        log.say("a repeat well inside the window: " + a2.status() + " '" + a2.text().strip() + "'");

        long arrival = first.receivedAt + WINDOW_MS - BEFORE_END_MS;
        Thread.sleep(Math.max(0, arrival - 500 - System.currentTimeMillis()));
        Sidecar sidecar = new Sidecar(backend.address());
        Thread.sleep(Math.max(0, arrival - 50 - System.currentTimeMillis()));
        if (trouble) {
            backend.signal("STOP");
        }
        Thread.sleep(Math.max(0, arrival - System.currentTimeMillis()));
        Request late = repeat(kernel);
        sidecar.send(late);
        log.line("the last repeat came to the machine " + (late.receivedAt - first.receivedAt) + " ms after the first try");
        if (late.writtenAt - first.receivedAt >= WINDOW_MS - 50) {
            throw new Backend.CannotRun("the machine was too slow for the window");
        }
        if (trouble) {
            Thread.sleep(Math.max(0, arrival - 50 + PAUSE_MS - System.currentTimeMillis()));
            backend.signal("CONT");
        }
        Request.Answer a3 = late.answer.get(6, TimeUnit.SECONDS);
        log.say("a repeat " + (late.receivedAt - first.receivedAt) + " ms after the first try, window " + WINDOW_MS + " ms: " + a3.status()
                + " '" + a3.text().strip() + "'");
        int runs = kernel.runsOf(first.id) + kernel.runsOf(early.id) + kernel.runsOf(late.id);
        log.say("runs under this key: " + runs);
        backend.close();
        return runs == 1;
    }

    private static Request repeat(Kernel kernel) {
        Request r = new Request("reserve", "copy 7", 3600).key("5f2b90c1d3e4a687");
        r.again = true;
        kernel.know(r);
        return r;
    }
}
