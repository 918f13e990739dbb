package rig;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The link to the kernel breaks once, and one command that was written within the 50 ms before is lost with it: the start of a run.
 * Afterwards nothing is wrong any more. Is the workload ever run again?
 */
public final class LostRun extends Case {
    private static final String SETTINGS = "{\"Classes\":["
            + "{\"Name\":\"stock-check\",\"Effect\":\"safe\",\"TargetUs\":1800000,\"DeadlineUs\":4500000,\"Worth\":1.0},"
            + "{\"Name\":\"place-order\",\"Effect\":\"keyed\",\"RepeatWindowUs\":13464000,\"TargetUs\":1800000,"
            + "\"DeadlineUs\":4500000,\"Worth\":10.0}],"
            + "\"FamilyInfo\":{\"Cpus\":2,\"MemLimitKb\":12000,\"RunMemFactor\":4,\"EntryKb\":20,\"Halt\":\"off\",\"IdleUs\":30000000,"
            + "\"PassesDeadline\":true,\"TellsGone\":true,\"ClassCalls\":[false,false],"
            + "\"Gauges\":[\"core_use\",\"on_cores\",\"heap_share\",\"links\"]},"
            + "\"Permissions\":{\"RetryAfter\":true,\"MaxRetryAfterUs\":1000000},\"RoundUs\":5000,"
            + "\"Rules\":{\"AnswerSlackUs\":60000,\"DrainGraceUs\":2500000,\"FallMultiple\":5,\"FallUs\":2000000}}";
    private static final int BREAK_AT_S = 10;
    private static final int END_AT_S = 60;
    private static final int JUDGED_FROM_S = 30; // 20 s after the break: many times the hard limit of 4.5 s

    public static void main(String[] a) {
        run(new LostRun());
    }

    private record Sent(double at, Request request) {}

    @Override
    protected boolean play() throws Exception {
        Kernel kernel = new Kernel(log, 2, run -> 200);
        kernel.commandDelayMs = 20;
        Store store = new Store(log);
        String file = write("config.json", config("n0", kernel.address(), store.address(), 3200, SETTINGS)).toString();
        Backend backend = new Backend(log, "n0", root, Backend.runLine(root), Map.of("EDGE_CONFIG", file));
        backend.awaitReady(40);
        AtomicInteger breaksLeft = new AtomicInteger();
        kernel.breakWhen(line -> line.contains("\"SCHED\"")
                && line.contains("place-order")
                && breaksLeft.getAndUpdate(n -> Math.max(0, n - 1)) > 0);
        Sidecar sidecar = new Sidecar(backend.address());
        List<Sent> all = new ArrayList<>();
        long start = System.nanoTime();
        for (int i = 0; ; i++) {
            double at = (System.nanoTime() - start) / 1e9;
            if (at > END_AT_S) {
                break;
            }
            if (trouble && at >= BREAK_AT_S && i % 2 == 1 && kernel.breaks == 0) {
                breaksLeft.set(1);
            }
            Request r = new Request(i % 2 == 0 ? "stock-check" : "place-order", "item " + i, 4500);
            r.footprintKb = 30;
            if (i % 2 == 1) {
                r.key("order-" + i);
            }
            kernel.know(r);
            log.line("sent " + r.id + " " + r.workload + " " + r.key);
            sidecar.send(r);
            all.add(new Sent(at, r));
            r.answer.thenAccept(x -> log.line("answer " + r.id + " " + r.workload + " " + x.status() + " "
                    + x.headers().replace("\r\n", ", ")));
            Thread.sleep(250);
        }
        Thread.sleep(5_000);
        boolean held = true;
        for (String workload : List.of("stock-check", "place-order")) {
            int before = 0, beforeServed = 0, after = 0, afterServed = 0;
            for (Sent s : all) {
                if (!s.request.workload.equals(workload)) {
                    continue;
                }
                boolean served = s.request.answer.getNow(new Request.Answer(0, new byte[0], "", 0)).status() == 200;
                if (s.at < BREAK_AT_S) {
                    before++;
                    beforeServed += served ? 1 : 0;
                } else if (s.at >= JUDGED_FROM_S) {
                    after++;
                    afterServed += served ? 1 : 0;
                }
            }
            log.say(workload + ": before the break " + beforeServed + " of " + before + " served, from " + (JUDGED_FROM_S - BREAK_AT_S)
                    + " s after it on " + afterServed + " of " + after);
            held &= after > 20 && afterServed > 0;
        }
        log.say("breaks of the kernel's link: " + kernel.breaks + ", commands lost with it: " + kernel.lostCommands
                + ", runs that the kernel has not ended: " + kernel.unfinished());
        log.line(Sidecar.get(backend.address(), "/counters", 2_000).answer.get().text());
        backend.close();
        return held;
    }
}
