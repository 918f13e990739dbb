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
class LeavingTest {
    private final ByteArrayOutputStream words = new ByteArrayOutputStream();
    private final Leaving leaving = new Leaving(200, new PrintStream(words, true, UTF_8));

    /** A server that was notified during its warm-up would begin to listen, and then end with requests unanswered. */
    @Test
    void toldBeforeItListensItNeverDoes() throws Exception {
        Server server = new Server(ServerTest.config());
        leaving.run();
        assertFalse(leaving.begins(server, null));
        assertNull(server.address());
        assertEquals("", words.toString(UTF_8));
    }

    /**
     * A notice after the server listened and before its hook was registered ended the process at once, with accepted
     * requests unanswered.
     */
    @Test
    void toldOnceItListensItSeesEveryoneOff() throws Exception {
        CompletableFuture<Server> begun = new CompletableFuture<>();
        Thread deciding = new Thread(() -> {
            Server server = new Server(ServerTest.config());
            try {
                assertTrue(leaving.begins(server, null));
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
            begun.complete(server);
            server.run();
        });
        deciding.setDaemon(true);
        deciding.start();
        Server server = begun.get(20, TimeUnit.SECONDS);
        assertEquals(200, ServerTest.check(server.address()));
        Thread told = new Thread(leaving);
        told.setDaemon(true);
        told.start();
        Awaitility.await().until(() -> words.toString(UTF_8).contains("shutting down; connections_accepted="));
        Awaitility.await().until(() -> words.toString(UTF_8).contains("final counters; "));
        assertTrue(told.isAlive(), "the hook waits for the kill");
        deciding.interrupt();
    }
}
