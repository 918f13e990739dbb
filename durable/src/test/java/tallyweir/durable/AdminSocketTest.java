package tallyweir.durable;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.UnixDomainSocketAddress;
import java.nio.channels.SocketChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Sends commands to a process that has a store open while it writes. */
@Timeout(60)
class AdminSocketTest {
    private static final List<Namespace> NAMESPACES = List.of(new Namespace("a", 1L << 30, false));

    @TempDir
    private Path dir;

    private Path adminSocket;
    private FileStore store;

    private FileStore open() throws IOException {
        return new FileStore(
                dir.resolve("first"),
                dir.resolve("second"),
                64 << 10,
                4_096,
                0.5,
                0,
                1 << 20,
                0,
                256 << 20,
                NAMESPACES);
    }

    @BeforeEach
    void setUp() throws IOException {
        adminSocket = dir.resolve("desk");
        store = open();
        store.openAdminSocket(adminSocket, Map.of("double", (words, line, progress) -> {
            line.accept(words.get(0) + words.get(0));
            if (words.get(0).isEmpty()) {
                throw new IOException("nothing\nto double");
            }
        }));
    }

    @AfterEach
    void tearDown() {
        store.close();
    }

    private static byte[] b(String text) {
        return text.getBytes();
    }

    private List<String> request(String... words) throws IOException {
        List<String> lines = new ArrayList<>();
        AdminSocket.sendRequest(adminSocket, List.of(words), lines::add, n -> {});
        return lines;
    }

    private String refusal(String... words) {
        return assertThrows(IOException.class, () -> request(words)).getMessage();
    }

    @Test
    void recordsAreReadAndListed() throws IOException {
        for (int i = 0; i < 5; i++) {
            store.committer().write(new Batch().put("a", b("k" + i), b("v" + i)));
        }
        StoredRecord f = AdminCommands.parseRecord(request("get", "a", "6b33").get(0));
        assertArrayEquals(b("k3"), f.key());
        assertArrayEquals(b("v3"), f.value());
        assertTrue(Math.abs(FileStore.currentTime() - Stamp.time(f.stamp())) < 600_000);
        assertEquals(List.of(), request("get", "a", "6b39"));
        assertEquals(List.of("k1", "k2"), keys(request("list", "a", "6b31", "6b33", "-", "-", "-")));
        assertEquals(List.of("k0", "k1", "k2"), keys(request("list", "a", "-", "-", "1", "-", "3")), "not by time");
        assertEquals(List.of(), keys(request("list", "a", "-", "-", "-", "1", "-")));
        assertTrue(request("info").contains("keys\t5"));
        assertTrue(request("info").stream().anyMatch(l -> l.matches("times.force_second_longest\t[1-9][0-9]*")));
        assertTrue(refusal("get", "b", "6b33").contains("no namespace b"));
        assertTrue(refusal("get", "a", "xyz").contains("not hexadecimal"));
        assertTrue(refusal("get", "a").contains("2 words"));
        assertTrue(refusal("fly").contains("not known here: fly"));
        assertEquals(List.of("xx"), request("double", "x"));
        assertEquals("nothing to double", refusal("double", ""));
    }

    private static List<String> keys(List<String> lines) {
        return lines.stream()
                .map(l -> new String(AdminCommands.parseRecord(l).key()))
                .toList();
    }

    @Test
    void backupRunsDuringWrites() throws Exception {
        AtomicInteger acknowledged = new AtomicInteger();
        AtomicBoolean stop = new AtomicBoolean();
        Thread writer = new Thread(() -> {
            try {
                for (int n = 0; !stop.get(); n++) {
                    store.committer().write(new Batch().put("a", b("k" + n), b("v" + n)));
                    acknowledged.set(n + 1);
                }
            } catch (StoreRefusedException e) {
                throw new IllegalStateException(e);
            }
        });
        writer.start();
        while (acknowledged.get() < 200) {
            Thread.onSpinWait();
        }
        int before = acknowledged.get();
        Path to = dir.resolve("backup");
        List<String> response = request("backup", to.toString());
        int after = acknowledged.get();
        while (acknowledged.get() < after + 50) {
            Thread.onSpinWait(); // writes continue after the backup
        }
        stop.set(true);
        writer.join();
        try (Durable d = new Durable(
                new FileDisk(to.resolve("first")),
                new FileDisk(to.resolve("second")),
                CopyExecutor.SEQUENTIAL,
                1 << 20,
                4_096,
                0.5,
                0,
                NAMESPACES,
                1,
                FileStore::currentTime,
                Runnable::run,
                Set.of())) {
            assertTrue(d.keyCount() >= before && d.keyCount() <= after + 2, before + " " + d.keyCount() + " " + after);
            for (int n = 0; n < d.keyCount(); n++) {
                assertArrayEquals(b("v" + n), d.get("a", b("k" + n)).value());
            }
            assertEquals("records\t" + d.keyCount(), response.get(0));
        }
        assertTrue(refusal("backup", to.toString()).contains("not empty"));
    }

    @Test
    void verifyRepairsDamageWhileStoreIsOpen() throws IOException {
        for (int i = 0; i < 200; i++) {
            store.committer().write(new Batch().put("a", b("k" + i), new byte[3_900]));
        }
        assertEquals(
                List.of("repaired\t0", "unrepaired\t0", "damaged_in_both_copies\t0"),
                request("verify").subList(0, 3));
        Path file = dir.resolve("second").resolve("0000000001.seg");
        byte[] bytes = Files.readAllBytes(file);
        bytes[20_000] ^= 4;
        Files.write(file, bytes);
        assertEquals(
                List.of("repaired\t1", "unrepaired\t0", "damaged_in_both_copies\t0"),
                request("verify").subList(0, 3));
        assertEquals(
                List.of("repaired\t0", "unrepaired\t0", "damaged_in_both_copies\t0"),
                request("verify").subList(0, 3));
    }

    @Test
    void idleConnectionsDoNotBlockRequests() throws Exception {
        List<SocketChannel> idle = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            idle.add(SocketChannel.open(UnixDomainSocketAddress.of(adminSocket)));
        }
        assertTrue(request("info").contains("keys\t0"));
        for (int i = 0; i < 40; i++) {
            idle.add(SocketChannel.open(UnixDomainSocketAddress.of(adminSocket)));
        }
        String last = "";
        for (int tries = 0; tries < 200 && !last.isEmpty() | tries == 0; tries++) {
            try {
                request("info");
                last = "";
            } catch (IOException full) {
                last = full.getMessage();
                assertTrue(last.contains("try again later"), last);
                Thread.sleep(50);
            }
        }
        assertEquals("", last, "idle connections block the socket permanently");
        for (SocketChannel c : idle) {
            c.close();
        }
        store.committer().write(new Batch().put("a", b("k"), b("v")));
    }

    @Test
    void socketIsPrivateAndReplacesStaleFile() throws IOException {
        assertEquals("rw-------", PosixFilePermissions.toString(Files.getPosixFilePermissions(adminSocket)));
        assertTrue(AdminSocket.isListening(adminSocket));
        store.close();
        assertFalse(AdminSocket.isListening(adminSocket));
        assertFalse(Files.exists(adminSocket));
        Files.writeString(adminSocket, "left");
        store = open();
        store.openAdminSocket(adminSocket, Map.of());
        assertTrue(request("info").contains("keys\t0"));
        try (AdminSocket later = new AdminSocket(adminSocket, Map.of())) {
            store.close();
            assertTrue(AdminSocket.isListening(adminSocket), "closing deleted the admin socket of a later process");
        }
        store = open();
        assertTrue(assertThrows(IOException.class, () -> store.openAdminSocket(dir.resolve("x".repeat(120)), Map.of()))
                .getMessage()
                .contains("no admin socket at"));
    }
}
