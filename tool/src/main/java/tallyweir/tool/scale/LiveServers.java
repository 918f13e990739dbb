package tallyweir.tool.scale;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.concurrent.Executor;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import tallyweir.fleet.FleetClient;
import tallyweir.fleet.ratis.RatisFleetClient;
import tallyweir.ids.TenantId;

/**
 * Servers of a live fleet in one process. All decide on one thread; each has a client of its own, as a server has. Every method is called on the deciding thread but for those of the meters.
 */
final class LiveServers {
    private static final long NANOSECONDS_PER_TICK = 100_000;
    private static final long MICROSECONDS_PER_TICK = 100;
    private static final long GIVE_UP_MILLISECONDS = SimulatedNetwork.GIVE_UP / 10;
    private static final int LOAD_EVERY_MILLISECONDS = 250;

    /** A revision, how many servers act on it, and when the last of them came to it, ms since 1970. */
    record Acted(int servers, long lastAt) {}

    private final ScheduledExecutorService deciding = Executors.newSingleThreadScheduledExecutor(LiveServers::daemon);
    private final SimulationParts parts;
    private final Map<String, String> voters;
    private final int first;
    private final SplittableRandom random;
    private final List<ServerSlot> slots = new ArrayList<>();
    private final TreeMap<Long, Acted> acted = new TreeMap<>();
    private final AtomicLong messages = new AtomicLong();
    private int stoodBack;

    LiveServers(SimulationParts parts, Map<String, String> voters, int first, int count, long seed) {
        this.parts = parts;
        this.voters = voters;
        this.first = first;
        random = new SplittableRandom(seed);
        for (int number = first; number < first + count; number++) {
            slots.add(new ServerSlot(number));
        }
    }

    private static Thread daemon(Runnable run) {
        Thread thread = new Thread(run, "scale");
        thread.setDaemon(true);
        return thread;
    }

    /** Runs something on the deciding thread and returns what it gives. */
    <T> T decide(Callable<T> call) throws Exception {
        return deciding.submit(call).get();
    }

    private static long now() {
        return System.nanoTime() / NANOSECONDS_PER_TICK;
    }

    /** Starts a process's worth of a server where none runs. */
    void start(int number) {
        ServerSlot slot = slots.get(number - first);
        if (slot.process() != null) {
            return;
        }
        long life = slot.nextLife();
        HollowServer.Identity identity =
                new HollowServer.Identity(number, System.currentTimeMillis(), random.nextLong());
        Executor ofServer = task -> deciding.execute(() -> call(slot, life, process -> task.run()));
        slot.started(parts.server(identity, now(), life == 1, client(slot), ofServer));
        call(slot, life, process -> {});
        load(slot, life);
    }

    private LiveClient client(ServerSlot slot) {
        FleetClient client = new RatisFleetClient(ScaleSettings.FLEET, voters, GIVE_UP_MILLISECONDS);
        return new LiveClient(client, slot::reached, deciding, GIVE_UP_MILLISECONDS, messages);
    }

    /** Ends a server at once. */
    void end(int number) {
        slots.get(number - first).ended();
    }

    /** Whether messages between a server and the voters arrive. */
    void reached(int number, boolean is) {
        slots.get(number - first).reached(is);
    }

    private void load(ServerSlot slot, long life) {
        if (slot.runs(life)) {
            call(slot, life, ServerUnderTest::drawLoad);
            deciding.schedule(() -> load(slot, life), LOAD_EVERY_MILLISECONDS, TimeUnit.MILLISECONDS);
        }
    }

    private void call(ServerSlot slot, long life, Consumer<ServerUnderTest> action) {
        if (!slot.runs(life)) {
            return;
        }
        slot.process().clock(now());
        action.accept(slot.process());
        observe(slot);
        wakeWhenDue(slot, life);
    }

    private void observe(ServerSlot slot) {
        long before = slot.acting();
        if (slot.actsAnew()) {
            noteActing(slot, before);
        }
        if (slot.standsBackAnew() && slot.reached()) {
            stoodBack++;
        }
    }

    /** Of a server that ran and could be reached all the while; of others it tells nothing of the change. */
    private void noteActing(ServerSlot slot, long before) {
        boolean disturbed = slot.wasDisturbed();
        if (before == 0 || disturbed) {
            return;
        }
        long at = System.currentTimeMillis();
        for (long revision = before + 1; revision <= slot.acting(); revision++) {
            Acted so = acted(revision);
            acted.put(revision, new Acted(so.servers + 1, at));
        }
    }

    private void wakeWhenDue(ServerSlot slot, long life) {
        long due = slot.process().next();
        if (due < slot.wakeAt()) {
            slot.wakeAt(due);
            long wait = Math.max(1, due - now()) * MICROSECONDS_PER_TICK;
            deciding.schedule(() -> wake(slot, life, due), wait, TimeUnit.MICROSECONDS);
        }
    }

    private void wake(ServerSlot slot, long life, long due) {
        if (slot.runs(life) && slot.wakeAt() == due) {
            slot.wakeAt(Long.MAX_VALUE);
            call(slot, life, process -> {});
        }
    }

    /** How many servers act on a revision at least as new, and when the last of them came to it. */
    Acted acted(long revision) {
        return acted.getOrDefault(revision, new Acted(0, 0));
    }

    /** How many servers run, act on a revision at least as new and take queries. */
    int serving(long revision) {
        return (int) slots.stream().filter(slot -> slot.serves(revision)).count();
    }

    /** How many servers run and can be reached. */
    int counting() {
        return (int) slots.stream().filter(ServerSlot::counts).count();
    }

    /** How often a server that ran and could be reached came to stand back. */
    int stoodBack() {
        return stoodBack;
    }

    /** Connections of a tenant at all servers here. */
    int connections(int tenant) {
        TenantId named = RevisionEntries.tenant(tenant);
        int all = 0;
        for (ServerSlot slot : slots) {
            all += slot.process() == null ? 0 : slot.process().connections(named);
        }
        return all;
    }

    /** Messages of all servers, both ways. */
    long messages() {
        return messages.get();
    }
}
