package tallyweir.cli;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.Test;
import tallyweir.ServerTest;
import tallyweir.net.Server;

/** The notice to shut down before the server listens, and just after. */
class ShutdownHookTest {
    private final ByteArrayOutputStream output = new ByteArrayOutputStream();
    private final ShutdownHook hook = new ShutdownHook(200, new PrintStream(output, true, UTF_8));

    /** A server that was notified during its warm-up would begin to listen, and then end with requests unanswered. */
    @Test
    void aServerNotifiedBeforeItListensNeverListens() throws Exception {
        Server server = new Server(ServerTest.config());
        hook.run();
        assertFalse(hook.listenUnlessShutdown(server, null));
        assertNull(server.address());
        assertEquals("", output.toString(UTF_8));
    }

    /**
     * A notice after the server listened and before its hook was registered ended the process at once, with accepted
     * requests unanswered.
     */
    @Test
    void aServerNotifiedWhileItListensDrains() throws Exception {
        CompletableFuture<Server> bound = new CompletableFuture<>();
        Thread decisionThread = new Thread(() -> {
            Server server = new Server(ServerTest.config());
            try {
                assertTrue(hook.listenUnlessShutdown(server, null));
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
            bound.complete(server);
            server.run();
        });
        decisionThread.setDaemon(true);
        decisionThread.start();
        Server server = bound.get(20, TimeUnit.SECONDS);
        assertEquals(200, ServerTest.check(server.address()));
        Thread hookThread = new Thread(hook);
        hookThread.setDaemon(true);
        hookThread.start();
        Awaitility.await().until(() -> output.toString(UTF_8).contains("told to leave; connections_accepted="));
        Awaitility.await().until(() -> output.toString(UTF_8).contains("at the stop; "));
        assertTrue(hookThread.isAlive(), "the hook waits for the kill");
        decisionThread.interrupt();
    }
}
