package review;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Backends that are told to leave (SIGTERM) while their kernels are not up yet; the kernels come up during the notice. Whether a
 * request runs that came later than the grace. Arguments: root, folder for files, record, TROUBLE.
 */
final class LateKernel {
    private static final int GRACE_MS = 2_000;
    private static final int SLACK_MS = 50; // of the rules on sockets
    private static final int STOP_MS = 3_200;
    private static final int[] UP_AFTER_MS = {400, 800, 1_200}; // after the notice, one for each backend
    private static final String SETTINGS =
            """
            {"Callers":{"MarksRetry":false},
             "Classes":[
              {"DeadlineUs":5200000,"Effect":"safe","LateValue":0.0,"Name":"lookup","RepeatWindowUs":10896000,"TargetUs":2100000,
               "Worth":1.0},
              {"DeadlineUs":5100000,"Effect":"unsafe","LateValue":0.0,"Name":"book-skip","RepeatWindowUs":10896000,
               "TargetUs":2100000,"Worth":3.0}],
             "Family":"server",
             "FamilyInfo":{"Below":"off","CallsOut":0,"ClassCalls":[false,false],"ClassSkipWorth":[0.0,0.0],"ClientsTotal":3,
              "Cold":false,"Cpus":2,"EntryKb":20.0,"Gauges":["core_use","on_cores","heap_share","links"],"Halt":"off",
              "IdleUs":30000000,"LingerUs":200000,"MemLimitKb":27330.0,"PassesDeadline":true,"RunMemFactor":4.0,
              "SaidForUs":1000000,"ShareForUs":0,"ShareSpanUs":5000000,"Signal":"off","TellsGone":true},
             "Permissions":{"CpuUsPerRequest":0.0,"CpuUsPerS":63028,"MaxRetryAfterUs":1000000,"RetryAfter":true},
             "RoundUs":5000,
             "Rules":{"AnswerSlackUs":60000,"ColdFrom":0.31,"ColdUs":17000000,"DrainGraceUs":2000000,"FallMultiple":6.0,
              "FallUs":3000000},
             "Servers":3,"Tier":0,"Tiers":["engines"],"WorthBy":"request","Zone":"one-hall","Localities":["one-hall"]}""";

    private LateKernel() {}

    public static void main(String[] args) {
        int code;
        try {
            code = play(Path.of(args[0]).toAbsolutePath(), Path.of(args[1]), Path.of(args[2]), !args[3].equals("0"));
        } catch (Exception e) {
            e.printStackTrace();
            code = 2;
        }
        System.exit(code);
    }

    private static int play(Path root, Path dir, Path record, boolean trouble) throws Exception {
        int count = UP_AFTER_MS.length;
        Backend[] backends = new Backend[count];
        Kernel[] kernels = new Kernel[count];
        long[] noticeAt = new long[count];
        List<List<Req>> sent = new ArrayList<>();
        World world = new World(record);
        try (java.net.DatagramSocket announce =
                new java.net.DatagramSocket(new java.net.InetSocketAddress("127.0.0.1", 0))) {
            List<Thread> threads = new ArrayList<>();
            for (int i = 0; i < count; i++) {
                kernels[i] = new Kernel(world, "kernel " + i, 2, true, r -> new int[] {100});
                if (trouble) {
                    kernels[i].holdBack();
                }
                int kernelPort = kernels[i].listen();
                backends[i] = new Backend(root, dir, "n" + i, Backend.freePort(), Map.of());
                backends[i].configure("{\"name\":\"n" + i + "\",\"listen\":\"127.0.0.1:" + backends[i].port
                        + "\",\"kernel\":\"127.0.0.1:" + kernelPort + "\",\"announce\":\"127.0.0.1:"
                        + announce.getLocalPort() + "\",\"seed\":\"8c1f30d27a5be964\",\"stop_ms\":" + STOP_MS
                        + ",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},\"settings\":" + SETTINGS + "}");
                backends[i].start(true);
                sent.add(new ArrayList<>());
            }
            Thread.sleep(300);
            for (int i = 0; i < count; i++) {
                int index = i;
                threads.add(new Thread(() -> {
                    try {
                        leave(world, index, backends[index], kernels[index], noticeAt, sent.get(index), trouble);
                    } catch (Exception e) {
                        world.note("n" + index + " could not be played: " + e);
                        noticeAt[index] = 0;
                    }
                }));
            }
            threads.forEach(Thread::start);
            for (Thread t : threads) {
                t.join();
            }
            return judge(world, noticeAt, sent);
        } finally {
            for (int i = 0; i < count; i++) {
                if (backends[i] != null) {
                    backends[i].close();
                    kernels[i].close();
                }
            }
            world.close();
        }
    }

    private static void leave(
            World world, int index, Backend backend, Kernel kernel, long[] noticeAt, List<Req> sent, boolean trouble)
            throws Exception {
        backend.signal("TERM");
        noticeAt[index] = System.currentTimeMillis();
        world.note("n" + index + " is told to leave");
        Thread.sleep(UP_AFTER_MS[index]);
        if (trouble) {
            kernel.boot();
        }
        Thread.sleep(1_000); // sidecars learn of a backend a second or two after its kernel has come up
        List<Sidecar> sidecars = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            sidecars.add(new Sidecar(world, i, backend.port, r -> {}));
        }
        for (int n = 0; System.currentTimeMillis() < noticeAt[index] + STOP_MS - 50; n++) {
            Sidecar sidecar = sidecars.get(n % 4);
            Req req = new Req(
                    String.format("%04x%012x", index, n),
                    n % 2 == 0 ? "lookup" : "book-skip",
                    ("body " + index + " " + n).getBytes(StandardCharsets.ISO_8859_1),
                    System.currentTimeMillis(),
                    4_500);
            if (!sidecar.ended() && sidecar.openCount() < 32 && sidecar.send(req, Map.of())) {
                sent.add(req);
                world.note("n" + index + " is sent " + req.job + " " + (req.receivedAt - noticeAt[index])
                        + " ms after the notice");
            }
            Thread.sleep(50);
        }
        Thread.sleep(Math.max(0, noticeAt[index] + STOP_MS - System.currentTimeMillis()));
        backend.signal("KILL");
        world.note("n" + index + " is stopped");
        Thread.sleep(200);
        for (Sidecar s : sidecars) {
            s.close();
        }
    }

    private static int judge(World world, long[] noticeAt, List<List<Req>> sent) {
        int inGrace = 0;
        int ranInGrace = 0;
        int later = 0;
        for (int i = 0; i < noticeAt.length; i++) {
            if (noticeAt[i] == 0) {
                System.out.println("the case could not run");
                return 2;
            }
            for (Req r : sent.get(i)) {
                long after = r.receivedAt - noticeAt[i];
                world.note("n" + i + ": " + r.job + " " + r.cls + " came " + after + " ms after the notice, ran " + r.runs
                        + " times, answered " + r.status + (r.connectionEnded ? ", its connection ended" : ""));
                inGrace += after <= GRACE_MS ? 1 : 0;
                ranInGrace += after <= GRACE_MS && r.runs > 0 ? 1 : 0;
                later += after > GRACE_MS + SLACK_MS ? 1 : 0;
                if (after > GRACE_MS + SLACK_MS && r.runs > 0) {
                    world.broken("n" + i + " ran " + r.job + " (" + r.cls + "), which came " + after
                            + " ms after the notice to leave; the grace is " + GRACE_MS + " ms; answered " + r.status);
                }
            }
        }
        String summary = inGrace + " requests came within the grace, " + ranInGrace + " of them ran; " + later
                + " came more than " + SLACK_MS + " ms after it, " + world.broken.size() + " of them ran";
        world.note(summary);
        System.out.println(summary);
        world.broken.stream().limit(5).forEach(System.out::println);
        if (later == 0 || ranInGrace == 0) {
            System.out.println("the case could not run");
            return 2;
        }
        return world.broken.isEmpty() ? 0 : 1;
    }
}
