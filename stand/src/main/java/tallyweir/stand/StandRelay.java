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
public final class StandRelay implements AutoCloseable {
    private static final int PIECE = 16 << 10;
    private static final int LOOK_MS = 5;
    private static final int NOTHING_DAMAGED = Integer.MAX_VALUE;

    private final ServerSocket server;
    private final InetSocketAddress to;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private volatile boolean cut;
    private volatile boolean thereHeld;
    private volatile boolean backHeld;
    private volatile int delayMs;
    private volatile int damagedFrom = NOTHING_DAMAGED;
    private final AtomicLong replied = new AtomicLong();
    private final AtomicInteger damaged = new AtomicInteger();

    /**
     * Starts listening.
     *
     * @param listenAddress where the relay listens, on loopback
     * @param target where it connects to
     */
    public StandRelay(InetSocketAddress listenAddress, InetSocketAddress target) throws IOException {
        this.to = target;
        server = new ServerSocket(listenAddress.getPort(), 64, listenAddress.getAddress());
        thread(this::accept);
    }

    private static void thread(Runnable run) {
        Thread thread = new Thread(run, "relay");
        thread.setDaemon(true);
        thread.start();
    }

    /** Resets all open connections, and every new one at once, until {@link #mend()}. */
    public void cut() {
        cut = true;
        open.forEach(StandRelay::reset);
    }

    /** Stalls or resumes each direction: data of a stalled one is no longer passed on, but its connections stay open. */
    public void hold(boolean forward, boolean backward) {
        thereHeld = forward;
        backHeld = backward;
    }

    /** Delays every chunk that is read, in both directions. */
    public void delay(int milliseconds) {
        delayMs = milliseconds;
    }

    /** Flips one bit of the middle byte of each backward chunk of at least {@code minBytes} bytes. */
    public void damageReplies(int minBytes) {
        damagedFrom = minBytes;
    }

    /** The number of chunks damaged so far. */
    public int damaged() {
        return damaged.get();
    }

    /** The number of bytes passed backward so far. */
    public long replied() {
        return replied.get();
    }

    /** Ends all faults: everything is passed on unchanged and without delay. */
    public void mend() {
        damagedFrom = NOTHING_DAMAGED;
        cut = false;
        thereHeld = false;
        backHeld = false;
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
                open.add(accepted);
                if (cut) {
                    reset(accepted);
                    open.remove(accepted);
                } else {
                    thread(() -> join(accepted));
                }
            }
        } catch (IOException e) {
            return; // the relay was closed
        }
    }

    private void join(Socket accepted) {
        Socket outgoing = new Socket();
        open.add(outgoing);
        try {
            outgoing.connect(to, 1_000);
            accepted.setTcpNoDelay(true);
            outgoing.setTcpNoDelay(true);
            thread(() -> pump(accepted, outgoing, true));
            pump(outgoing, accepted, false);
        } catch (IOException e) {
            end(accepted, outgoing);
        }
    }

    private void pump(Socket source, Socket destination, boolean forward) {
        byte[] chunk = new byte[PIECE];
        try {
            InputStream in = source.getInputStream();
            OutputStream out = destination.getOutputStream();
            for (int length = in.read(chunk); length >= 0; length = in.read(chunk)) {
                if (delayMs > 0) {
                    TimeUnit.MILLISECONDS.sleep(delayMs);
                }
                while (forward ? thereHeld : backHeld) {
                    TimeUnit.MILLISECONDS.sleep(LOOK_MS);
                }
                if (!forward) {
                    reply(chunk, length);
                }
                out.write(chunk, 0, length);
            }
        } catch (IOException e) {
            end(source, destination);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        end(source, destination);
    }

    private void reply(byte[] chunk, int length) {
        replied.addAndGet(length);
        if (length >= damagedFrom) {
            chunk[length / 2] ^= 1;
            damaged.incrementAndGet();
        }
    }

    private void end(Socket first, Socket second) {
        reset(first);
        reset(second);
        open.remove(first);
        open.remove(second);
    }

    @Override
    public void close() throws IOException {
        server.close();
        cut();
    }

    /** A loopback address that is unique to a pair of servers, by their numbers from 0 to 254. */
    public static InetAddress pair(int from, int to) throws IOException {
        return InetAddress.getByAddress(new byte[] {127, 77, (byte) (from + 1), (byte) (to + 1)});
    }
}
