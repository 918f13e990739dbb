package tallyweir.tool.bench;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * How busy the whole machine has been since its start, read from {@code /proc/stat}.
 *
 * @param busyMillis processor time of all processes
 * @param stolenMillis time in which the hypervisor ran others, though a process here wanted a core
 */
record MachineUsage(long busyMillis, long stolenMillis) {
    private static final int MILLIS_PER_TICK = 10; // USER_HZ is 100 on Linux
    private static final int IDLE = 4; // places in the line after its name
    private static final int IO_WAIT = 5;
    private static final int STOLEN = 8;

    static final MachineUsage NONE = new MachineUsage(0, 0);

    static MachineUsage now() throws IOException {
        String[] fields = Files.readAllLines(Path.of("/proc/stat")).get(0).split(" +");
        long busy = 0;
        for (int place = 1; place < STOLEN; place++) {
            busy += place == IDLE || place == IO_WAIT ? 0 : Long.parseLong(fields[place]);
        }
        return new MachineUsage(busy * MILLIS_PER_TICK, Long.parseLong(fields[STOLEN]) * MILLIS_PER_TICK);
    }

    MachineUsage minus(MachineUsage earlier) {
        return new MachineUsage(busyMillis - earlier.busyMillis, stolenMillis - earlier.stolenMillis);
    }

    MachineUsage plus(MachineUsage other) {
        return new MachineUsage(busyMillis + other.busyMillis, stolenMillis + other.stolenMillis);
    }
}
