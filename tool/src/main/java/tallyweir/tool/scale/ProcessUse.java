package tallyweir.tool.scale;

import com.sun.management.OperatingSystemMXBean;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;

/** What this process has used. */
final class ProcessUse {
    private static final String RESIDENT = "VmRSS:";
    private static final String READ = "rchar:";
    private static final String WRITTEN = "wchar:";
    private static final long KILOBYTE = 1_024;

    private ProcessUse() {}

    /** Processor time of all threads so far, nanoseconds. */
    static long processorNanoseconds() {
        return ((OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean()).getProcessCpuTime();
    }

    /** Memory that the process holds, bytes. */
    static long residentBytes() throws IOException {
        for (String line : Files.readAllLines(Path.of("/proc/self/status"))) {
            if (line.startsWith(RESIDENT)) {
                return KILOBYTE * Long.parseLong(line.replaceAll("[^0-9]", ""));
            }
        }
        return 0;
    }

    /** Bytes that the process has read and written, on connections and else. */
    static long transferredBytes() throws IOException {
        long all = 0;
        for (String line : Files.readAllLines(Path.of("/proc/self/io"))) {
            if (line.startsWith(READ) || line.startsWith(WRITTEN)) {
                all += Long.parseLong(line.replaceAll("[^0-9]", ""));
            }
        }
        return all;
    }
}
