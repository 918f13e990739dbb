package tallyweir.net;

import java.util.ArrayDeque;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;

/**
 * The queue of events between MINA's threads and the decision thread. Events of the peers come first, then one chunk of
 * each caller in turn. A connection with its maximum of chunks queued is not read until some are taken, so a flood
 * fills only its own connection. A caller that does not read its answers is not read either.
 */
final class Arrivals {
    static final int PIECES_MOST = 2;
    static final int PEER_PIECES_MOST = 64; // bounds the memory of an endless reply that is processed too slowly
    static final int TURNS_MOST = 64; // so that events of the peers do not wait for all callers

    /** The queued chunks of one connection. */
    static final class Inbox {
        private final ArrayDeque<Runnable> pieces = new ArrayDeque<>(PIECES_MOST);
        private final Runnable suspend;
        private final Runnable resume;
        private int waiting; // chunks of a caller not taken yet, or of a peer not processed yet
        private final AtomicInteger unread = new AtomicInteger(); // of a caller: queued, or taken and not processed
        private volatile boolean reading; // bytes may have left the socket and are not queued yet
        private boolean stands; // too much of its output has not been sent
        private boolean suspended;

        /**
         * @param suspend stops reading from the connection; called with the queue's lock held
         * @param resume the reverse of suspend
         */
        Inbox(Runnable suspend, Runnable resume) {
            this.suspend = suspend;
            this.resume = resume;
        }
    }

    private final ReentrantLock lock = new ReentrantLock();
    private final Condition something = lock.newCondition();
    private final ArrayDeque<Runnable> first = new ArrayDeque<>();
    private final ArrayDeque<Inbox> turns = new ArrayDeque<>();
    private int peerPieces; // of all peers, not processed yet

    /** Queues an event that belongs to no inbox, before those of callers. */
    void put(Runnable news) {
        lock.lock();
        try {
            first.add(news);
            something.signal();
        } finally {
            lock.unlock();
        }
    }

    /** Queues a chunk of a peer, before those of callers. */
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

    /** Chunks of the peers that have arrived and that the decision thread has not processed yet. */
    int peerPieces() {
        lock.lock();
        try {
            return peerPieces;
        } finally {
            lock.unlock();
        }
    }

    /** Queues a chunk of a caller. */
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

    /** Notes that bytes of a caller are about to be read from its socket, or that they have been queued. */
    static void reading(Inbox of, boolean reading) {
        of.reading = reading;
    }

    /** Whether all bytes that were read from a caller's socket have been processed. */
    static boolean isEmpty(Inbox of) {
        return !of.reading && of.unread.get() == 0;
    }

    /** Notes whether too much output of a caller is unsent. While it is, the caller is not read. */
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

    /** Takes the next batch of events, and waits up to that many nanoseconds for the first. */
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
