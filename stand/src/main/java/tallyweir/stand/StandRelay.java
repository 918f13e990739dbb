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

/** The way from one server to another: whatever goes over it can be cut, held back in one direction or both, delayed or damaged. */
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

    /** @param at where it is reached, on loopback */
    public StandRelay(InetSocketAddress at, InetSocketAddress to) throws IOException {
        this.to = to;
        server = new ServerSocket(at.getPort(), 64, at.getAddress());
        thread(this::accept);
    }

    private static void thread(Runnable run) {
        Thread t = new Thread(run, "relay");
        t.setDaemon(true);
        t.start();
    }

    /** Everything open is reset, and nothing opens, until it is mended. */
    public void cut() {
        cut = true;
        open.forEach(StandRelay::reset);
    }

    /** Nothing is passed on any more in these directions, and nobody is told. */
    public void hold(boolean there, boolean back) {
        thereHeld = there;
        backHeld = back;
    }

    /** Every piece comes so much later. */
    public void delay(int milliseconds) {
        delayMs = milliseconds;
    }

    /** Of what comes back, each piece of at least so many bytes has one bit of the byte in its middle flipped. */
    public void damageReplies(int leastBytes) {
        damagedFrom = leastBytes;
    }

    /** How many pieces have been damaged so far. */
    public int damaged() {
        return damaged.get();
    }

    /** How many bytes have come back so far. */
    public long replied() {
        return replied.get();
    }

    /** Everything is passed on as it came, and at once. */
    public void mend() {
        damagedFrom = NOTHING_DAMAGED;
        cut = false;
        thereHeld = false;
        backHeld = false;
        delayMs = 0;
    }

    private static void reset(Socket s) {
        try {
            s.setSoLinger(true, 0);
            s.close();
        } catch (IOException e) {
            return; // it was closed already
        }
    }

    private void accept() {
        try {
            while (true) {
                Socket one = server.accept();
                open.add(one);
                if (cut) {
                    reset(one);
                    open.remove(one);
                } else {
                    thread(() -> join(one));
                }
            }
        } catch (IOException e) {
            return; // closed
        }
    }

    private void join(Socket one) {
        Socket other = new Socket();
        open.add(other);
        try {
            other.connect(to, 1_000);
            one.setTcpNoDelay(true);
            other.setTcpNoDelay(true);
            thread(() -> pump(one, other, true));
            pump(other, one, false);
        } catch (IOException e) {
            end(one, other);
        }
    }

    private void pump(Socket from, Socket into, boolean there) {
        byte[] piece = new byte[PIECE];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = into.getOutputStream();
            for (int n = in.read(piece); n >= 0; n = in.read(piece)) {
                if (delayMs > 0) {
                    TimeUnit.MILLISECONDS.sleep(delayMs);
                }
                while (there ? thereHeld : backHeld) {
                    TimeUnit.MILLISECONDS.sleep(LOOK_MS);
                }
                if (!there) {
                    reply(piece, n);
                }
                out.write(piece, 0, n);
            }
        } catch (IOException e) {
            end(from, into);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        end(from, into);
    }

    private void reply(byte[] piece, int bytes) {
        replied.addAndGet(bytes);
        if (bytes >= damagedFrom) {
            piece[bytes / 2] ^= 1;
            damaged.incrementAndGet();
        }
    }

    private void end(Socket one, Socket other) {
        reset(one);
        reset(other);
        open.remove(one);
        open.remove(other);
    }

    @Override
    public void close() throws IOException {
        server.close();
        cut();
    }

    /** An address on loopback of its own for each pair. */
    public static InetAddress pair(int from, int to) throws IOException {
        return InetAddress.getByAddress(new byte[] {127, 77, (byte) (from + 1), (byte) (to + 1)});
    }
}
