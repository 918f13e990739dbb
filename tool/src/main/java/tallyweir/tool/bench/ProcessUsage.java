package tallyweir.tool.bench;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * What a process has used, read from {@code /proc}.
 *
 * @param cpuMillis processor time since its start, user and system
 * @param residentKb resident memory now
 */
record ProcessUsage(long cpuMillis, long residentKb) {
    private static final int MILLIS_PER_TICK = 10; // USER_HZ is 100 on Linux
    private static final int USER_TICKS = 11; // places after the command's closing parenthesis
    private static final int SYSTEM_TICKS = 12;

    static ProcessUsage of(long pid) throws IOException {
        Path directory = Path.of("/proc", Long.toString(pid));
        String stat = Files.readString(directory.resolve("stat"));
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        long ticks = Long.parseLong(fields[USER_TICKS]) + Long.parseLong(fields[SYSTEM_TICKS]);
        return new ProcessUsage(ticks * MILLIS_PER_TICK, residentKb(directory));
    }

    private static long residentKb(Path directory) throws IOException {
        for (String line : Files.readAllLines(directory.resolve("status"))) {
            if (line.startsWith("VmRSS:")) {
                return Long.parseLong(line.replaceAll("[^0-9]", ""));
            }
        }
        throw new IOException("no resident memory in " + directory.resolve("status"));
    }
}
