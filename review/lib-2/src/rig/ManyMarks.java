package rig;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Results are kept over restarts, with a window of an hour. Six times as many requests come for a minute, and then as many as before.
 * Only what comes from 15 s after that on is judged: is it answered in its time, and does the process still live? TROUBLE=0 plays the
 * ordinary rate throughout.
 */
public final class ManyMarks extends Case {
    private static final int RATE = 190;
    private static final int SURGE_S = 60;
    private static final int JUDGED_FROM_S = SURGE_S + 15;
    private static final int END_S = JUDGED_FROM_S + 20;
    private static final int SLACK_MS = 110; // AnswerSlackUs, 50 ms longer on sockets
    private static final int DEADLINE_MS = 767; // a sixth of giza-orders' 4.6 s, as the rate is six times the usual
    private static final int AIM_MS = 300;
    private static final int KEY_CHARS = 128;
    private static final String SETTINGS = "{\"Classes\":["
            + "{\"Name\":\"slot-lookup\",\"Effect\":\"keyed\",\"RepeatWindowUs\":3600000000,\"TargetUs\":" + AIM_MS + "000,"
            + "\"DeadlineUs\":" + DEADLINE_MS + "000,\"Worth\":1.0}],"
            + "\"FamilyInfo\":{\"Cpus\":6,\"MemLimitKb\":27330,\"RunMemFactor\":8,\"EntryKb\":0.02,\"Halt\":\"off\",\"IdleUs\":30000000,"
            + "\"PassesDeadline\":true,\"TellsGone\":true,\"ClassCalls\":[false],"
            + "\"Gauges\":[\"core_use\",\"on_cores\",\"heap_share\",\"links\"]},"
            + "\"Permissions\":{\"RetryAfter\":true,\"MaxRetryAfterUs\":1000000},\"RoundUs\":5000,"
            + "\"Rules\":{\"AnswerSlackUs\":60000,\"DrainGraceUs\":2500000,\"FallMultiple\":8,\"FallUs\":3000000}}";

    public static void main(String[] a) {
        run(new ManyMarks());
    }

    @Override
    protected boolean play() throws Exception {
        Kernel kernel = new Kernel(log, 6, run -> 1);
        kernel.logRuns = false;
        kernel.resultBytes = 379;
        Store store = new Store(log);
        Map<String, String> environment = Map.of(
                "EDGE_CONFIG",
                write("config.json", config("n0", kernel.address(), store.address(), 3200, SETTINGS)).toString(),
                "EDGE_OPERATORS",
                write("operators.json", "{\"results\":{\"bound_mb\":512},\"durable\":{\"dir\":\"" + temporary.resolve("durable") + "\"}}")
                        .toString());
        Backend backend = new Backend(log, "n0", root, Backend.runLine(root), environment);
        backend.awaitReady(40);
        List<Sidecar> sidecars = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            sidecars.add(new Sidecar(backend.address()));
        }
        List<Request> all = new ArrayList<>();
        int judgedFrom = Integer.MAX_VALUE;
        long start = System.nanoTime();
        double due = 0;
        double last = 0;
        double nextReport = 5;
        for (double at = 0; at < END_S; at = (System.nanoTime() - start) / 1e9) {
            due += (at - last) * (trouble && at < SURGE_S ? 6 * RATE : RATE);
            last = at;
            if (at >= JUDGED_FROM_S && judgedFrom == Integer.MAX_VALUE) {
                judgedFrom = all.size();
                log.say("before: " + summary(all, 0));
            }
            while (all.size() < due) {
                Request r = new Request("slot-lookup", "slot " + all.size(), DEADLINE_MS);
                r.key(String.format("%0" + KEY_CHARS + "x", all.size()));
                kernel.know(r);
                all.add(sidecars.get(all.size() % sidecars.size()).send(r));
            }
            if (at >= nextReport) {
                nextReport += 5;
                log.line(summary(all, 0));
            }
            Thread.sleep(2);
        }
        Thread.sleep(DEADLINE_MS + 400);
        int served = 0;
        int lost = 0;
        for (Request r : all.subList(judgedFrom, all.size())) {
            Request.Answer a = r.answer.getNow(null);
            served += a != null && a.status() == 200 && r.answeredInTime(SLACK_MS) ? 1 : 0;
            lost += r.answeredInTime(SLACK_MS) ? 0 : 1;
            log.line("sent " + r.id + " key ..." + r.key.substring(KEY_CHARS - 8) + " at " + r.receivedAt + ", runs " + kernel.runsOf(r.id) + ", answer "
                    + (a == null ? "none" : a.status() + " after " + (a.at() - r.receivedAt) + " ms"));
        }
        boolean outOfMemory = backend.lines.stream().anyMatch(l -> l.contains("OutOfMemoryError"));
        log.say("judged, " + RATE + " a second: " + summary(all, judgedFrom) + ", served in time " + served
                + ", without any answer in time " + lost);
        log.say("process alive " + backend.isAlive() + ", OutOfMemoryError in its log " + outOfMemory);
        boolean held = backend.isAlive() && !outOfMemory && lost * 1000 < 3 * (all.size() - judgedFrom);
        backend.close();
        return held;
    }

    private static String summary(List<Request> all, int from) {
        Map<Integer, Integer> byStatus = new TreeMap<>();
        for (Request r : all.subList(from, all.size())) {
            Request.Answer a = r.answer.getNow(null);
            byStatus.merge(a == null ? 0 : a.status(), 1, Integer::sum);
        }
        return "sent " + (all.size() - from) + ", answers by status (0: none) " + byStatus;
    }
}
