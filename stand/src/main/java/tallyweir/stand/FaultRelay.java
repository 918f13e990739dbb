package tallyweir.stand;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A TCP relay between two servers that can inject network faults: reset all connections, stall one direction or both, delay or
 * damage the data. Forward is the direction from the connecting side to the target. Safe for use by several threads.
 */
public final class FaultRelay implements AutoCloseable {
    private static final int CHUNK_BYTES = 16 << 10;
    private static final int POLL_INTERVAL_MS = 5;
    private static final int DAMAGE_OFF = Integer.MAX_VALUE;

    private final ServerSocket server;
    private final InetSocketAddress target;
    private final Set<Socket> openSockets = ConcurrentHashMap.newKeySet();
    private volatile boolean resetting;
    private volatile boolean forwardStalled;
    private volatile boolean backwardStalled;
    private volatile int delayMs;
    private volatile int minDamagedBytes = DAMAGE_OFF;
    private final AtomicLong repliedBytes = new AtomicLong();
    private final AtomicInteger damagedChunks = new AtomicInteger();

    /**
     * Starts listening.
     *
     * @param listenAddress where the relay listens, on loopback
     * @param target where it connects to
     */
    public FaultRelay(InetSocketAddress listenAddress, InetSocketAddress target) throws IOException {
        this.target = target;
        server = new ServerSocket(listenAddress.getPort(), 64, listenAddress.getAddress());
        startThread(this::accept);
    }

    private static void startThread(Runnable run) {
        Thread thread = new Thread(run, "relay");
        thread.setDaemon(true);
        thread.start();
    }

    /** Resets all open connections, and every new one at once, until {@link #endFaults()}. */
    public void resetAll() {
        resetting = true;
        openSockets.forEach(FaultRelay::reset);
    }

    /** Stalls or resumes each direction: data of a stalled one is no longer passed on, but its connections stay open. */
    public void stall(boolean forward, boolean backward) {
        forwardStalled = forward;
        backwardStalled = backward;
    }

    /** Delays every chunk that is read, in both directions. */
    public void setDelayMs(int milliseconds) {
        delayMs = milliseconds;
    }

    /** Flips one bit of the middle byte of each backward chunk of at least {@code minBytes} bytes. */
    public void damageReplies(int minBytes) {
        minDamagedBytes = minBytes;
    }

    /** The number of chunks damaged so far. */
    public int damagedChunks() {
        return damagedChunks.get();
    }

    /** The number of bytes passed backward so far. */
    public long repliedBytes() {
        return repliedBytes.get();
    }

    /** Ends all faults: everything is passed on unchanged and without delay. */
    public void endFaults() {
        minDamagedBytes = DAMAGE_OFF;
        resetting = false;
        forwardStalled = false;
        backwardStalled = false;
        delayMs = 0;
    }

    private static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException e) {
            return; // already closed
        }
    }

    private void accept() {
        try {
            while (true) {
                Socket accepted = server.accept();
                openSockets.add(accepted);
                if (resetting) {
                    reset(accepted);
                    openSockets.remove(accepted);
                } else {
                    startThread(() -> connect(accepted));
                }
            }
        } catch (IOException e) {
            return; // the relay was closed
        }
    }

    private void connect(Socket accepted) {
        Socket outgoing = new Socket();
        openSockets.add(outgoing);
        try {
            outgoing.connect(target, 1_000);
            accepted.setTcpNoDelay(true);
            outgoing.setTcpNoDelay(true);
            startThread(() -> pump(accepted, outgoing, true));
            pump(outgoing, accepted, false);
        } catch (IOException e) {
            closeBoth(accepted, outgoing);
        }
    }

    private void pump(Socket source, Socket destination, boolean forward) {
        byte[] chunk = new byte[CHUNK_BYTES];
        try {
            InputStream in = source.getInputStream();
            OutputStream out = destination.getOutputStream();
            for (int length = in.read(chunk); length >= 0; length = in.read(chunk)) {
                if (delayMs > 0) {
                    TimeUnit.MILLISECONDS.sleep(delayMs);
                }
                while (forward ? forwardStalled : backwardStalled) {
                    TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MS);
                }
                if (!forward) {
                    onReply(chunk, length);
                }
                out.write(chunk, 0, length);
            }
        } catch (IOException e) {
            closeBoth(source, destination);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        closeBoth(source, destination);
    }

    private void onReply(byte[] chunk, int length) {
        repliedBytes.addAndGet(length);
        if (length >= minDamagedBytes) {
            chunk[length / 2] ^= 1;
            damagedChunks.incrementAndGet();
        }
    }

    private void closeBoth(Socket first, Socket second) {
        reset(first);
        reset(second);
        openSockets.remove(first);
        openSockets.remove(second);
    }

    @Override
    public void close() throws IOException {
        server.close();
        resetAll();
    }

    /** A loopback address that is unique to a pair of servers, by their numbers from 0 to 254. */
    public static InetAddress pairAddress(int from, int to) throws IOException {
        return InetAddress.getByAddress(new byte[] {127, 77, (byte) (from + 1), (byte) (to + 1)});
    }
}
