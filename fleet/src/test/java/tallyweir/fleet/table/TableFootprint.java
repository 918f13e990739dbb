package tallyweir.fleet.table;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Supplier;

/**
 * Measures heap usage and running times of a table of a large fleet. The heap figures are valid only under
 * {@code -Xmx40m -XX:+UseSerialGC}; the bulk build is a separate run, with the argument {@code measureBulkBuild} and a larger heap.
 */
public final class TableFootprint {
    private static final int STORES = 31_000;
    private static final int TENANTS = 400_000;
    private static final int BATCH_SIZE = 10_000;
    private static final int RETAINED_CHANGES = 25_000;
    private static final int DIFFERENCE_RUNS = 200;
    private static final int STORE_PORTS = 8;
    private static final int HOSTS_PER_NET = 250;
    private static final double NANOS_PER_MICRO = 1e3;
    private static final double NANOS_PER_MILLI = 1e6;

    private final PrintStream out;
    private final SplittableRandom random = new SplittableRandom(1);

    private TableFootprint(PrintStream out) {
        this.out = out;
    }

    /** Prints one measurement per line. */
    public static void main(String[] arguments) {
        TableFootprint footprint = new TableFootprint(System.out);
        if (arguments.length > 0 && arguments[0].equals("bulk")) {
            footprint.measureBulkBuild();
        } else {
            footprint.measureHeapAndTimes();
        }
    }

    private void measureHeapAndTimes() {
        long before = usedHeap();
        Table table = timed("build in batches of " + BATCH_SIZE, this::buildInBatches);
        out.printf("entries %d, heap of the table %d bytes%n", table.size(), usedHeap() - before);
        measureSingleChanges(table);
        measureDifferences(table);
        measureTransfers(table);
        measureRetainedChanges(table);
    }

    private void measureBulkBuild() {
        List<Change> stores = storeChanges(0, STORES);
        List<Change> caps = capChanges(0, TENANTS);
        Table withStores = Table.EMPTY.apply(stores);
        for (int run = 0; run < 3; run++) {
            timed("apply " + caps.size() + " at once", () -> withStores.apply(caps));
        }
    }

    private Table buildInBatches() {
        Table table = Table.EMPTY;
        for (int from = 0; from < STORES; from += BATCH_SIZE) {
            table = table.apply(storeChanges(from, Math.min(from + BATCH_SIZE, STORES)));
        }
        for (int from = 0; from < TENANTS; from += BATCH_SIZE) {
            table = table.apply(capChanges(from, from + BATCH_SIZE));
        }
        return table;
    }

    /** Runs before the retained changes are created, so that garbage collections do not affect the times. */
    private void measureSingleChanges(Table table) {
        long[] nanos = new long[RETAINED_CHANGES];
        for (int i = 0; i < nanos.length; i++) {
            List<Change> change = List.of(randomCap());
            long start = System.nanoTime();
            table.apply(change);
            nanos[i] = System.nanoTime() - start;
        }
        long[] warm = Arrays.copyOfRange(nanos, nanos.length / 2, nanos.length);
        Arrays.sort(warm);
        out.printf("one change: p50 %.1f us, p99 %.1f us%n", micros(warm, 0.5), micros(warm, 0.99));
    }

    private void measureDifferences(Table table) {
        for (int size : new int[] {1, 1_000}) {
            List<Change> changes = new ArrayList<>();
            for (int i = 0; i < size; i++) {
                changes.add(randomCap());
            }
            Table changed = table.apply(changes);
            long[] nanos = new long[DIFFERENCE_RUNS];
            int found = 0;
            for (int run = 0; run < nanos.length; run++) {
                long start = System.nanoTime();
                found = table.differenceTo(changed).size();
                nanos[run] = System.nanoTime() - start;
            }
            Arrays.sort(nanos);
            out.printf(
                    "difference of %d entries: p50 %.1f us, p99 %.1f us%n",
                    found, micros(nanos, 0.5), micros(nanos, 0.99));
        }
    }

    private void measureTransfers(Table table) {
        Table changed = table.apply(List.of(randomCap()));
        measureTransfer("of one changed entry", table, changed);
        measureTransfer("of all", Table.EMPTY, table);
    }

    private void measureTransfer(String label, Table base, Table target) {
        long start = System.nanoTime();
        TableTransfer transfer = new TableTransfer(base, target.root());
        int chunks = 0;
        long bytes = 0;
        int largest = 0;
        for (Optional<Path> path = transfer.nextPath(); path.isPresent(); path = transfer.nextPath()) {
            byte[] chunk = target.chunk(path.get());
            transfer.accept(path.get(), chunk);
            chunks++;
            bytes += chunk.length;
            largest = Math.max(largest, chunk.length);
        }
        boolean same = transfer.table().equals(target);
        double millis = (System.nanoTime() - start) / NANOS_PER_MILLI;
        out.printf(
                "transfer %s: %d chunks, %d bytes, largest %d, %.1f ms, equal %b%n",
                label, chunks, bytes, largest, millis, same);
    }

    private void measureRetainedChanges(Table table) {
        long before = usedHeap();
        List<Table> retained = new ArrayList<>(RETAINED_CHANGES);
        Table latest = table;
        long start = System.nanoTime();
        for (int i = 0; i < RETAINED_CHANGES; i++) {
            latest = latest.apply(List.of(randomCap()));
            retained.add(latest);
        }
        double millis = (System.nanoTime() - start) / NANOS_PER_MILLI;
        long growth = usedHeap() - before;
        out.printf(
                "%d changes retained: %d bytes more, %d each, %.0f ms%n",
                retained.size(), growth, growth / retained.size(), millis);
    }

    private Change randomCap() {
        return capChange(random.nextInt(TENANTS), 1 + random.nextInt(100_000));
    }

    private <T> T timed(String label, Supplier<T> work) {
        long start = System.nanoTime();
        T result = work.get();
        out.printf("%s: %.0f ms%n", label, (System.nanoTime() - start) / NANOS_PER_MILLI);
        return result;
    }

    private static List<Change> storeChanges(int from, int to) {
        List<Change> changes = new ArrayList<>();
        for (int i = from; i < to; i++) {
            int host = i / STORE_PORTS;
            String name = "10.1." + host / HOSTS_PER_NET + "." + host % HOSTS_PER_NET + ":" + (7000 + i % STORE_PORTS);
            changes.add(put(new Key(Kind.STORE, name), new Value.Weight(1 + i % 100)));
        }
        return changes;
    }

    private static List<Change> capChanges(int from, int to) {
        List<Change> changes = new ArrayList<>();
        for (int i = from; i < to; i++) {
            changes.add(capChange(i, 1 + i % 1_000));
        }
        return changes;
    }

    private static Change capChange(int tenant, int connections) {
        return put(new Key(Kind.CAP, String.format("tenant-%06d", tenant)), new Value.Cap(connections));
    }

    private static Change put(Key key, Value value) {
        return new Change(key, Optional.empty(), Optional.of(value));
    }

    private static double micros(long[] sorted, double quantile) {
        return sorted[(int) (sorted.length * quantile)] / NANOS_PER_MICRO;
    }

    /** The bytes of heap in use after three full collections. */
    private static long usedHeap() {
        Runtime runtime = Runtime.getRuntime();
        for (int i = 0; i < 3; i++) {
            System.gc();
        }
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
