package tallyweir.tool;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import tallyweir.stand.FailingCalls;
import tallyweir.stand.FailingCalls.Call;
import tallyweir.stand.FailingCalls.Errno;
import tallyweir.stand.StandInKernel;

/** Reports to the announce service go on, whatever system calls fail. */
class LostReportsTest {
    private static final int LISTED_MS = 3_000; // after its last report a server comes off the list
    private static final int CORES = 2;
    private static final long WINDOW_US = 1_000_000;

    @TempDir
    private Path directory;

    /** Nothing was reported for four seconds after the one socket for reports was interrupted in connect. */
    @Test
    @Timeout(60)
    void connectIsInterruptedForTheFirstReport() throws Exception {
        FailingCalls calls = FailingCalls.create(directory);
        try (StandInKernel kernel = new StandInKernel(null, CORES, 1);
                DatagramSocket announce = new DatagramSocket(0, InetAddress.getLoopbackAddress());
                Program program = new Program(directory, false, List.of())) {
            String config = Program.config(kernel.port(), 1, CORES, WINDOW_US, 256, 2_000);
            Files.writeString(
                    directory.resolve("config.json"),
                    config.replace(
                            "\"announce\":\"127.0.0.1:9\"",
                            "\"announce\":\"127.0.0.1:" + announce.getLocalPort() + "\""));
            calls.failAtMost(Call.CONNECT, 2, 1, 1, Errno.EINTR); // the kernel's and the reports'
            program.environment(calls.environment());
            program.start();
            announce.setSoTimeout(LISTED_MS);
            announce.receive(new DatagramPacket(new byte[64], 64));
            assertTrue(calls.failureCount(Call.CONNECT) == 2, "both have failed");
        }
    }
}
