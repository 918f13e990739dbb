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
 * Makes system calls of another process fail, as Linux documents that they may. A small library is compiled by the machine's C
 * compiler and loaded into the process; it follows the rules of a file that both sides have mapped, so rules may change
 * while the process runs.
 */
public final class FailingCalls {
    /** What may fail, in the order of the library. */
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

    /** How a call may fail, by Linux's numbers. */
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
    private static final int COMPILER_SECONDS = 60;
    private static final int ERRNOS_MOST = 8;
    private static final int RULES_AT = Long.BYTES;
    private static final int ERRNO_COUNT_AT = Integer.BYTES;
    private static final int ERRNOS_AT = 2 * Integer.BYTES;
    private static final int SEED_AT = ERRNOS_AT + ERRNOS_MOST * Integer.BYTES;
    private static final int MADE_AT = SEED_AT + Integer.BYTES;
    private static final int FAILED_AT = MADE_AT + Integer.BYTES;
    private static final int MOST_AT = FAILED_AT + Integer.BYTES;
    private static final int RULE_BYTES = MOST_AT + Integer.BYTES;

    private final Path library;
    private final Path file;
    private final MappedByteBuffer rules;

    private FailingCalls(Path library, Path file, MappedByteBuffer rules) {
        this.library = library;
        this.file = file;
        this.rules = rules;
    }

    /** Whether this machine has what the library is compiled with. */
    public static boolean canCompile() throws InterruptedException {
        try {
            return run(COMPILER, "--version") == 0;
        } catch (IOException e) {
            return false;
        }
    }

    /** Compiles the library into a directory, which holds the rules as well. */
    public static FailingCalls in(Path directory) throws IOException, InterruptedException {
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
        try (RandomAccessFile of = new RandomAccessFile(file.toFile(), "rw")) {
            of.setLength(RULES_AT + (long) RULE_BYTES * Call.values().length);
            MappedByteBuffer rules = of.getChannel().map(FileChannel.MapMode.READ_WRITE, 0, of.length());
            rules.order(ByteOrder.nativeOrder());
            return new FailingCalls(library, file, rules);
        }
    }

    private static int run(String... command) throws IOException, InterruptedException {
        Process compiler = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                .start();
        if (!compiler.waitFor(COMPILER_SECONDS, TimeUnit.SECONDS)) {
            compiler.destroyForcibly();
            throw new IOException(command[0] + " does not end");
        }
        return compiler.exitValue();
    }

    /** What the environment of the process has to hold. */
    public Map<String, String> environment() {
        return Map.of("LD_PRELOAD", library.toString(), "FAILING_CALLS", file.toString());
    }

    private static int at(Call call) {
        return RULES_AT + RULE_BYTES * call.ordinal();
    }

    /** From now on one call in so many fails, in each of these ways in turn. */
    public void fail(Call call, int oneIn, int seed, Errno... ways) {
        failAtMost(call, 0, oneIn, seed, ways);
    }

    /** @param most so many fail and no more, 0 for no bound */
    public void failAtMost(Call call, int most, int oneIn, int seed, Errno... ways) {
        if (ways.length == 0 || ways.length > ERRNOS_MOST) {
            throw new IllegalArgumentException("from 1 to " + ERRNOS_MOST + " ways to fail");
        }
        mend(call);
        int at = at(call);
        for (int i = 0; i < ways.length; i++) {
            rules.putInt(at + ERRNOS_AT + i * Integer.BYTES, ways[i].number);
        }
        rules.putInt(at + ERRNO_COUNT_AT, ways.length);
        rules.putInt(at + SEED_AT, seed);
        rules.putInt(at + MOST_AT, most == 0 ? 0 : failures(call) + most);
        rules.putInt(at, oneIn);
    }

    /** From now on calls of this kind go as ever. */
    public void mend(Call call) {
        rules.putInt(at(call), 0);
    }

    /** From now on all calls go as ever. */
    public void mendAll() {
        for (Call call : Call.values()) {
            mend(call);
        }
    }

    /** How many calls of this kind have failed so far. */
    public int failures(Call call) {
        return rules.getInt(at(call) + FAILED_AT);
    }

    /** How many calls have failed so far. */
    public int failures() {
        int all = 0;
        for (Call call : Call.values()) {
            all += failures(call);
        }
        return all;
    }

    /** The process's wall clock is so much ahead of the machine's from now on; the monotonic one runs on. */
    public void stepWall(long milliseconds) {
        rules.putLong(0, milliseconds);
    }
}
