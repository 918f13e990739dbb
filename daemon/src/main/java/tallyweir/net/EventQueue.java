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
final class EventQueue {
    static final int MAX_CALLER_CHUNKS = 2;
    static final int MAX_CHUNKS_OF_ALL_CALLERS =
            256; // from here on one for each, as hundreds of callers may write large requests at once
    static final int MAX_PEER_CHUNKS = 64; // bounds the memory of an endless reply that is processed too slowly
    static final int MAX_CALLERS_PER_BATCH = 64; // so that events of the peers do not wait for all callers

    /** The queued chunks of one connection. */
    static final class Inbox {
        private final ArrayDeque<Runnable> chunks = new ArrayDeque<>(MAX_CALLER_CHUNKS);
        private final Runnable suspend;
        private final Runnable resume;
        private int queuedChunks; // chunks of a caller not taken yet, or of a peer not processed yet
        private final AtomicInteger unprocessedChunks =
                new AtomicInteger(); // of a caller: queued, or taken and not processed
        private volatile boolean readInProgress; // bytes may have left the socket and are not queued yet
        private volatile boolean inputEnded; // the peer has ended its side, after all that is queued
        private boolean outputBacklogged; // too much of its output has not been sent
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
    private final Condition notEmpty = lock.newCondition();
    private final ArrayDeque<Runnable> priorityEvents = new ArrayDeque<>();
    private final ArrayDeque<Inbox> callersInTurn = new ArrayDeque<>();
    private int pendingPeerChunks; // of all peers, not processed yet
    private int queuedCallerChunks; // of all callers, not taken yet

    /** Queues an event that belongs to no inbox, before those of callers. */
    void put(Runnable event) {
        lock.lock();
        try {
            priorityEvents.add(event);
            notEmpty.signal();
        } finally {
            lock.unlock();
        }
    }

    /** Queues a chunk of a peer, before those of callers. */
    void putPeerChunk(Inbox from, Runnable chunk) {
        lock.lock();
        try {
            priorityEvents.add(() -> {
                peerChunkProcessed(from, MAX_PEER_CHUNKS);
                chunk.run();
            });
            from.queuedChunks++;
            pendingPeerChunks++;
            updateSuspension(from, MAX_PEER_CHUNKS);
            notEmpty.signal();
        } finally {
            lock.unlock();
        }
    }

    private void peerChunkProcessed(Inbox peer, int maxChunks) {
        lock.lock();
        try {
            peer.queuedChunks--;
            pendingPeerChunks--;
            updateSuspension(peer, maxChunks);
        } finally {
            lock.unlock();
        }
    }

    /** Chunks of the peers that have arrived and that the decision thread has not processed yet. */
    int pendingPeerChunks() {
        lock.lock();
        try {
            return pendingPeerChunks;
        } finally {
            lock.unlock();
        }
    }

    /** Queues a chunk of a caller. */
    void put(Inbox from, Runnable chunk) {
        lock.lock();
        try {
            from.chunks.add(chunk);
            from.queuedChunks++;
            from.unprocessedChunks.incrementAndGet();
            if (from.chunks.size() == 1) {
                callersInTurn.add(from);
            }
            queuedCallerChunks++;
            updateSuspension(from, maxCallerChunks());
            notEmpty.signal();
        } finally {
            lock.unlock();
        }
    }

    /** Notes that bytes of a caller are about to be read from its socket, or that they have been queued. */
    static void setReadInProgress(Inbox inbox, boolean readInProgress) {
        inbox.readInProgress = readInProgress;
    }

    /** Notes that a caller has ended its side of the connection. */
    static void setInputEnded(Inbox inbox) {
        inbox.inputEnded = true;
    }

    /** Whether a caller is known to have ended its side of the connection; bytes before the end may still be queued. */
    static boolean hasInputEnded(Inbox inbox) {
        return inbox.inputEnded;
    }

    /** Whether all bytes that were read from a caller's socket have been processed. */
    static boolean isEmpty(Inbox inbox) {
        return !inbox.readInProgress && inbox.unprocessedChunks.get() == 0;
    }

    /** Notes whether too much output of a caller is unsent. While it is, the caller is not read. */
    void setOutputBacklogged(Inbox inbox, boolean backlogged) {
        lock.lock();
        try {
            inbox.outputBacklogged = backlogged;
            updateSuspension(inbox, maxCallerChunks());
        } finally {
            lock.unlock();
        }
    }

    private int maxCallerChunks() {
        return queuedCallerChunks < MAX_CHUNKS_OF_ALL_CALLERS ? MAX_CALLER_CHUNKS : 1;
    }

    private static void updateSuspension(Inbox inbox, int maxChunks) {
        boolean suspend = inbox.outputBacklogged || inbox.queuedChunks >= maxChunks;
        if (suspend != inbox.suspended) {
            inbox.suspended = suspend;
            (suspend ? inbox.suspend : inbox.resume).run();
        }
    }

    /** Takes the next batch of events, and waits up to that many nanoseconds for the first. */
    void take(List<Runnable> batch, long nanos) throws InterruptedException {
        lock.lock();
        try {
            for (long remaining = nanos; remaining > 0 && priorityEvents.isEmpty() && callersInTurn.isEmpty(); ) {
                remaining = notEmpty.awaitNanos(remaining);
            }
            batch.addAll(priorityEvents);
            priorityEvents.clear();
            for (int n = Math.min(MAX_CALLERS_PER_BATCH, callersInTurn.size()); n > 0; n--) {
                Inbox inbox = callersInTurn.poll();
                Runnable chunk = inbox.chunks.poll();
                batch.add(() -> {
                    inbox.unprocessedChunks.decrementAndGet();
                    chunk.run();
                });
                inbox.queuedChunks--;
                queuedCallerChunks--;
                if (!inbox.chunks.isEmpty()) {
                    callersInTurn.add(inbox);
                }
                updateSuspension(inbox, maxCallerChunks());
            }
        } finally {
            lock.unlock();
        }
    }
}
