package rig;

import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/**
 * A backend is told to leave. Some clients, whose connections have been in use before, write slowly: the first bytes of their request
 * come well before the stop, and the last byte still some tenths of a second before it. Do they get any answer? Before the notice
 * ordinary requests come for 20 s, and of all requests up to 3 in 1,000 may lack an answer. TROUBLE=0: the same clients write each
 * request at once.
 */
public final class SlowWriter extends Case {
    private static final int STOP_MS = 3_200;
    private static final int FIRST_BYTE_MS = 2_200; // after the notice
    private static final int LAST_BYTE_MS = 2_850; // after the notice; the kill comes 350 ms later
    private static final int CLIENTS = 40;
    private static final int RATE = 190; // ordinary requests a second before the notice
    private static final int ORDINARY_S = 20;
    private static final int SIDECARS = 10;
    private static final int DEADLINE_MS = 4_600;
    private static final int SLACK_MS = 110; // AnswerSlackUs, 50 ms longer on sockets
    private static final String SETTINGS = "{\"Classes\":["
            + "{\"Name\":\"order-status\",\"Effect\":\"safe\",\"TargetUs\":1800000,\"DeadlineUs\":4600000,\"Worth\":1.0}],"
            + "\"FamilyInfo\":{\"Cpus\":6,\"MemLimitKb\":27330,\"RunMemFactor\":8,\"EntryKb\":108.64,\"Halt\":\"abort\",\"IdleUs\":30000000,"
            + "\"PassesDeadline\":true,\"TellsGone\":true,\"ClassCalls\":[false],"
            + "\"Gauges\":[\"core_use\",\"on_cores\",\"heap_share\",\"links\"]},"
            + "\"Permissions\":{\"RetryAfter\":true,\"MaxRetryAfterUs\":1000000},\"RoundUs\":5000,"
            + "\"Rules\":{\"AnswerSlackUs\":60000,\"DrainGraceUs\":2500000,\"FallMultiple\":8,\"FallUs\":3000000}}";

    public static void main(String[] a) {
        run(new SlowWriter());
    }

    private record End(boolean answered, String what, long at) {}

    @Override
    protected boolean play() throws Exception {
        Kernel kernel = new Kernel(log, 6, run -> 10);
        Store store = new Store(log);
        String file = write("config.json", config("n0", kernel.address(), store.address(), STOP_MS, SETTINGS)).toString();
        Backend backend = new Backend(log, "n0", root, Backend.runLine(root), Map.of("EDGE_CONFIG", file));
        backend.awaitReady(40);
        List<Request> ordinary = ordinaryLoad(backend, kernel);
        List<Socket> sockets = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            Socket s = new Socket();
            s.connect(backend.address(), 1_000);
            s.setTcpNoDelay(true);
            sockets.add(s);
            Request r = new Request("order-status", "earlier " + i, DEADLINE_MS);
            r.receivedAt = System.currentTimeMillis();
            kernel.know(r);
            s.getOutputStream().write(Sidecar.encode(1, r.params(), r.body));
            End end = read(s, System.nanoTime());
            if (!end.answered || !end.what.contains("200")) {
                throw new Backend.CannotRun("an ordinary request was not served: " + end);
            }
        }
        long notice = System.nanoTime();
        backend.signal("TERM");
        List<CompletableFuture<End>> ends = new ArrayList<>();
        List<Long> written = new ArrayList<>();
        List<byte[]> all = new ArrayList<>();
        sleepUntil(notice, FIRST_BYTE_MS);
        for (int i = 0; i < CLIENTS; i++) {
            Socket s = sockets.get(i);
            Request r = new Request("order-status", "bakery " + i, DEADLINE_MS);
            r.receivedAt = System.currentTimeMillis();
            kernel.know(r);
            byte[] bytes = Sidecar.encode(2, r.params(), r.body);
            int first = trouble ? bytes.length / 2 : bytes.length;
            s.getOutputStream().write(bytes, 0, first);
            s.getOutputStream().flush();
            written.add(trouble ? 0 : ms(notice));
            CompletableFuture<End> end = new CompletableFuture<>();
            Kernel.thread(() -> end.complete(read(s, notice)));
            ends.add(end);
            all.add(Arrays.copyOfRange(bytes, first, bytes.length));
        }
        if (trouble) {
            // A few bytes every 50 ms; the last ones at LAST_BYTE_MS.
            int steps = 13;
            for (int step = 1; step <= steps; step++) {
                sleepUntil(notice, FIRST_BYTE_MS + (LAST_BYTE_MS - FIRST_BYTE_MS) * step / steps);
                for (int i = 0; i < CLIENTS; i++) {
                    byte[] rest = all.get(i);
                    int from = rest.length * (step - 1) / steps;
                    int to = rest.length * step / steps;
                    try {
                        OutputStream out = sockets.get(i).getOutputStream();
                        out.write(rest, from, to - from);
                        out.flush();
                        if (step == steps) {
                            written.set(i, ms(notice));
                        }
                    } catch (IOException e) {
                        log.line("client " + i + " cannot write at " + ms(notice) + " ms: " + e.getMessage());
                        written.set(i, -1L);
                    }
                }
            }
        }
        sleepUntil(notice, STOP_MS);
        backend.kill();
        int ordinaryLost = 0;
        for (Request r : ordinary) {
            ordinaryLost += r.answeredInTime(SLACK_MS) ? 0 : 1;
        }
        int lost = 0;
        int judged = 0;
        for (int i = 0; i < CLIENTS; i++) {
            End end = ends.get(i).get();
            boolean had = written.get(i) > 0 && written.get(i) < STOP_MS - 50;
            judged += had ? 1 : 0;
            lost += had && !end.answered ? 1 : 0;
            log.line("client " + i + ": last byte written " + written.get(i) + " ms after the notice; " + end.what + " at " + end.at + " ms");
        }
        log.say("requests whose last byte was written over 50 ms before the kill: " + judged + ", of them without any answer: " + lost);
        int sent = ordinary.size() + CLIENTS + judged; // the slow clients' first requests were all served
        log.say("ordinary requests before the notice: " + ordinary.size() + ", of them without an answer in time: " + ordinaryLost
                + "; without an answer in all " + (lost + ordinaryLost) + " of " + sent + ", the rule is broken from 3 in 1,000 on");
        if (judged == 0) {
            throw new Backend.CannotRun("no request was written whole");
        }
        return (lost + ordinaryLost) * 1000 < 3 * sent;
    }

    /** Sends requests at an even rate, and returns when all are answered or late. */
    private List<Request> ordinaryLoad(Backend backend, Kernel kernel) throws Exception {
        List<Sidecar> sidecars = new ArrayList<>();
        for (int i = 0; i < SIDECARS; i++) {
            sidecars.add(new Sidecar(backend.address()));
        }
        List<Request> all = new ArrayList<>();
        long start = System.nanoTime();
        for (double at = 0; at < ORDINARY_S; at = (System.nanoTime() - start) / 1e9) {
            while (all.size() < at * RATE) {
                Request r = new Request("order-status", "item " + all.size(), DEADLINE_MS);
                kernel.know(r);
                all.add(sidecars.get(all.size() % SIDECARS).send(r));
            }
            Thread.sleep(2);
        }
        for (long until = ms(start) + DEADLINE_MS + SLACK_MS; ms(start) < until; Thread.sleep(10)) {
            if (all.stream().allMatch(r -> r.answer.isDone())) {
                break;
            }
        }
        for (Request r : all) {
            Request.Answer a = r.answer.getNow(null);
            log.line("ordinary " + r.id + " at " + r.receivedAt + ", answer " + (a == null ? "none" : a.status() + " after " + (a.at() - r.receivedAt) + " ms"));
        }
        return all;
    }

    private static long ms(long notice) {
        return (System.nanoTime() - notice) / 1_000_000;
    }

    private static void sleepUntil(long notice, int ms) throws InterruptedException {
        Thread.sleep(Math.max(0, ms - ms(notice)));
    }

    /** Reads up to END_REQUEST or the end of the connection. */
    private static End read(Socket s, long notice) {
        ByteArrayOutputStream text = new ByteArrayOutputStream();
        try {
            DataInputStream in = new DataInputStream(s.getInputStream());
            while (true) {
                in.readUnsignedByte();
                int type = in.readUnsignedByte();
                in.readUnsignedShort();
                byte[] content = new byte[in.readUnsignedShort()];
                int padding = in.readUnsignedByte();
                in.readUnsignedByte();
                in.readFully(content);
                in.skipNBytes(padding);
                if (type == 6) {
                    text.writeBytes(content);
                } else if (type == 3) {
                    return new End(true, "answered " + text.toString().split("\r\n")[0], ms(notice));
                }
            }
        } catch (EOFException e) {
            return new End(false, "the connection was ended without an answer", ms(notice));
        } catch (IOException e) {
            return new End(false, "the connection broke: " + e.getMessage(), ms(notice));
        }
    }
}
