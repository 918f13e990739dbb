package tallyweir.stand;

import java.io.IOException;
import java.io.InputStream;
import java.io.RandomAccessFile;
import java.nio.ByteOrder;
import java.nio.MappedByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Makes system calls of another process fail in ways that Linux documents. A small library is compiled by the machine's C compiler
 * and preloaded into the process. It reads its rules from a file that both sides map into memory, so the rules can be changed while
 * the process runs.
 */
public final class FailingCalls {
    /** The calls that can fail, in the order of the library's {@code enum call}. */
    public enum Call {
        ACCEPT,
        SOCKET,
        CONNECT,
        READ,
        WRITE,
        EPOLL_WAIT,
        EPOLL_CTL,
        CLOSE,
        FILE_WRITE,
        FILE_SYNC
    }

    /** The errors a call can fail with, with their numbers on Linux. */
    public enum Errno {
        EINTR(4),
        EIO(5),
        EAGAIN(11),
        ENOMEM(12),
        ENFILE(23),
        EMFILE(24),
        ENOSPC(28),
        EPROTO(71),
        ENOBUFS(105),
        ECONNABORTED(103),
        ECONNRESET(104),
        EADDRNOTAVAIL(99),
        ENETUNREACH(101),
        ECONNREFUSED(111),
        EHOSTUNREACH(113);

        private final int number;

        Errno(int number) {
            this.number = number;
        }
    }

    private static final String COMPILER = "cc";
    private static final String SOURCE = "failing_calls.c";
    private static final int COMPILER_TIMEOUT_S = 60;
    private static final int MAX_ERRNOS = 8;
    private static final int RULES_OFFSET = Long.BYTES;
    private static final int ERRNO_COUNT_OFFSET = Integer.BYTES;
    private static final int ERRNOS_OFFSET = 2 * Integer.BYTES;
    private static final int SEED_OFFSET = ERRNOS_OFFSET + MAX_ERRNOS * Integer.BYTES;
    private static final int CALL_COUNT_OFFSET = SEED_OFFSET + Integer.BYTES;
    private static final int FAILURE_COUNT_OFFSET = CALL_COUNT_OFFSET + Integer.BYTES;
    private static final int MAX_FAILURES_OFFSET = FAILURE_COUNT_OFFSET + Integer.BYTES;
    private static final int RULE_BYTES = MAX_FAILURES_OFFSET + Integer.BYTES;

    private final Path library;
    private final Path rulesFile;
    private final MappedByteBuffer rules;

    private FailingCalls(Path library, Path file, MappedByteBuffer rules) {
        this.library = library;
        this.rulesFile = file;
        this.rules = rules;
    }

    /** Whether this machine has the C compiler that the library needs. */
    public static boolean canCompile() throws InterruptedException {
        try {
            return run(COMPILER, "--version") == 0;
        } catch (IOException e) {
            return false;
        }
    }

    /** Compiles the library into a directory and creates the file of rules there. */
    public static FailingCalls create(Path directory) throws IOException, InterruptedException {
        Path source = directory.resolve(SOURCE);
        Path library = directory.resolve("failing_calls.so");
        try (InputStream in = FailingCalls.class.getResourceAsStream(SOURCE)) {
            Files.write(source, in.readAllBytes());
        }
        int exit =
                run(COMPILER, "-shared", "-fPIC", "-O1", "-Wall", "-o", library.toString(), source.toString(), "-ldl");
        if (exit != 0) {
            throw new IOException("the machine's C compiler could not compile " + source);
        }
        Path file = directory.resolve("failing_calls.rules");
        try (RandomAccessFile rulesFile = new RandomAccessFile(file.toFile(), "rw")) {
            rulesFile.setLength(RULES_OFFSET + (long) RULE_BYTES * Call.values().length);
            MappedByteBuffer rules = rulesFile.getChannel().map(FileChannel.MapMode.READ_WRITE, 0, rulesFile.length());
            rules.order(ByteOrder.nativeOrder());
            return new FailingCalls(library, file, rules);
        }
    }

    private static int run(String... command) throws IOException, InterruptedException {
        Process compiler = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                .start();
        if (!compiler.waitFor(COMPILER_TIMEOUT_S, TimeUnit.SECONDS)) {
            compiler.destroyForcibly();
            throw new IOException(command[0] + " does not exit in time");
        }
        return compiler.exitValue();
    }

    /** The environment variables to set for the process. */
    public Map<String, String> environment() {
        return Map.of("LD_PRELOAD", library.toString(), "FAILING_CALLS", rulesFile.toString());
    }

    private static int ruleOffset(Call call) {
        return RULES_OFFSET + RULE_BYTES * call.ordinal();
    }

    /**
     * Makes calls fail from now on, with each of the errors in turn.
     *
     * @param oneIn one call in this many fails on average
     * @param seed determines which calls fail
     */
    public void fail(Call call, int oneIn, int seed, Errno... errors) {
        failAtMost(call, 0, oneIn, seed, errors);
    }

    /**
     * Makes a bounded number of calls fail.
     *
     * @param maxFailures the maximum number of calls that fail from now on, 0 for no bound
     */
    public void failAtMost(Call call, int maxFailures, int oneIn, int seed, Errno... errors) {
        if (errors.length == 0 || errors.length > MAX_ERRNOS) {
            throw new IllegalArgumentException("1 to " + MAX_ERRNOS + " errors are required");
        }
        restore(call);
        int offset = ruleOffset(call);
        for (int i = 0; i < errors.length; i++) {
            rules.putInt(offset + ERRNOS_OFFSET + i * Integer.BYTES, errors[i].number);
        }
        rules.putInt(offset + ERRNO_COUNT_OFFSET, errors.length);
        rules.putInt(offset + SEED_OFFSET, seed);
        rules.putInt(offset + MAX_FAILURES_OFFSET, maxFailures == 0 ? 0 : failureCount(call) + maxFailures);
        rules.putInt(offset, oneIn);
    }

    /** Stops making calls of this kind fail. */
    public void restore(Call call) {
        rules.putInt(ruleOffset(call), 0);
    }

    /** Stops making any calls fail. */
    public void restoreAll() {
        for (Call call : Call.values()) {
            restore(call);
        }
    }

    /** The number of calls of this kind that were made to fail so far. */
    public int failureCount(Call call) {
        return rules.getInt(ruleOffset(call) + FAILURE_COUNT_OFFSET);
    }

    /** The number of calls of all kinds that were made to fail so far. */
    public int failureCount() {
        int sum = 0;
        for (Call call : Call.values()) {
            sum += failureCount(call);
        }
        return sum;
    }

    /** Sets the process's wall clock ahead of the machine's by an offset from now on; the monotonic clock is not affected. */
    public void setWallClockOffset(long milliseconds) {
        rules.putLong(0, milliseconds);
    }
}
