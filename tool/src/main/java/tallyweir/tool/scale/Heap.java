package tallyweir.tool.scale;

import java.lang.management.ManagementFactory;
import java.lang.management.MemoryMXBean;

/** How much heap is in use. */
final class Heap {
    private static final int COLLECTIONS = 2;

    private Heap() {}

    /** Bytes in use after a collection. */
    static long used() {
        MemoryMXBean memory = ManagementFactory.getMemoryMXBean();
        for (int i = 0; i < COLLECTIONS; i++) {
            memory.gc();
        }
        return memory.getHeapMemoryUsage().getUsed();
    }
}
