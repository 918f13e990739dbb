package tallyweir.net;

import java.util.ArrayDeque;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;

/**
 * What arrived and the deciding thread has not taken yet: first what the peers say, then a piece of each caller in
 * turn. Who has a few pieces here is not read until some are taken, so a flood fills its own connection only; nor is
 * a caller whose answers stand because it does not read them.
 */
final class Arrivals {
    static final int PIECES_MOST = 2; // of one caller
    static final int PEER_PIECES_MOST = 64; // of one peer: guards against a reply without end, taken too slowly
    static final int TURNS_MOST = 64; // of callers, between two looks at the peers

    /** The pieces of one connection; suspend and resume say whether it may be read. */
    static final class Inbox {
        private final ArrayDeque<Runnable> pieces = new ArrayDeque<>(PIECES_MOST);
        private final Runnable suspend;
        private final Runnable resume;
        private int waiting; // pieces here, of a caller or a peer
        private final AtomicInteger unread = new AtomicInteger(); // the same, and those taken whose turn has not come
        private volatile boolean reading; // bytes have left the socket and are not here yet
        private boolean stands; // what was written to it has not gone out
        private boolean suspended;

        Inbox(Runnable suspend, Runnable resume) {
            this.suspend = suspend;
            this.resume = resume;
        }
    }

    private final ReentrantLock lock = new ReentrantLock();
    private final Condition something = lock.newCondition();
    private final ArrayDeque<Runnable> first = new ArrayDeque<>();
    private final ArrayDeque<Inbox> turns = new ArrayDeque<>();
    private int peerPieces; // of all peers, whose turn has not come

    void put(Runnable news) {
        lock.lock();
        try {
            first.add(news);
            something.signal();
        } finally {
            lock.unlock();
        }
    }

    /** A piece of a peer, which comes before those of callers. */
    void putFirst(Inbox from, Runnable piece) {
        lock.lock();
        try {
            first.add(() -> {
                taken(from, PEER_PIECES_MOST);
                piece.run();
            });
            from.waiting++;
            peerPieces++;
            steer(from, PEER_PIECES_MOST);
            something.signal();
        } finally {
            lock.unlock();
        }
    }

    private void taken(Inbox peer, int most) {
        lock.lock();
        try {
            peer.waiting--;
            peerPieces--;
            steer(peer, most);
        } finally {
            lock.unlock();
        }
    }

    /** Pieces of the peers that have arrived and that the deciding thread has not gone through. */
    int peerPieces() {
        lock.lock();
        try {
            return peerPieces;
        } finally {
            lock.unlock();
        }
    }

    void put(Inbox from, Runnable piece) {
        lock.lock();
        try {
            from.pieces.add(piece);
            from.waiting++;
            from.unread.incrementAndGet();
            if (from.pieces.size() == 1) {
                turns.add(from);
            }
            steer(from, PIECES_MOST);
            something.signal();
        } finally {
            lock.unlock();
        }
    }

    /** Bytes of a caller are about to leave its socket, or have come here. */
    static void reading(Inbox of, boolean reading) {
        of.reading = reading;
    }

    /** Whether nothing that has left a caller's socket is unread. */
    static boolean isEmpty(Inbox of) {
        return !of.reading && of.unread.get() == 0;
    }

    /** Output of a caller stands, or no longer: meanwhile it is not read. */
    void stands(Inbox of, boolean stands) {
        lock.lock();
        try {
            of.stands = stands;
            steer(of, PIECES_MOST);
        } finally {
            lock.unlock();
        }
    }

    private static void steer(Inbox of, int most) {
        boolean suspend = of.stands || of.waiting >= most;
        if (suspend != of.suspended) {
            of.suspended = suspend;
            (suspend ? of.suspend : of.resume).run();
        }
    }

    /** Takes what there is, or waits so long for something to come. */
    void take(List<Runnable> into, long nanos) throws InterruptedException {
        lock.lock();
        try {
            for (long left = nanos; left > 0 && first.isEmpty() && turns.isEmpty(); ) {
                left = something.awaitNanos(left);
            }
            into.addAll(first);
            first.clear();
            for (int n = Math.min(TURNS_MOST, turns.size()); n > 0; n--) {
                Inbox of = turns.poll();
                Runnable piece = of.pieces.poll();
                into.add(() -> {
                    of.unread.decrementAndGet();
                    piece.run();
                });
                of.waiting--;
                if (!of.pieces.isEmpty()) {
                    turns.add(of);
                }
                steer(of, PIECES_MOST);
            }
        } finally {
            lock.unlock();
        }
    }
}
