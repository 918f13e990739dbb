package tallyweir.net;

import java.util.ArrayDeque;
import java.util.List;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;

/**
 * What arrived and the deciding thread has not taken yet: first what the peers say, then a piece of each caller in
 * turn. A caller with a few pieces here is not read until some are taken, so a flood fills its own connection only.
 */
final class Arrivals {
    static final int PIECES_MOST = 2;   // of one caller
    static final int TURNS_MOST = 64;   // of callers, between two looks at the peers

    /** The pieces of one caller; suspend and resume say whether it may be read. */
    static final class Inbox {
        private final ArrayDeque<Runnable> pieces = new ArrayDeque<>(PIECES_MOST);
        private final Runnable suspend;
        private final Runnable resume;
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

    void put(Runnable news) {
        lock.lock();
        try {
            first.add(news);
            something.signal();
        } finally {
            lock.unlock();
        }
    }

    void put(Inbox from, Runnable piece) {
        lock.lock();
        try {
            from.pieces.add(piece);
            if (from.pieces.size() == 1) {
                turns.add(from);
            }
            if (from.pieces.size() >= PIECES_MOST && !from.suspended) {
                from.suspended = true;
                from.suspend.run();
            }
            something.signal();
        } finally {
            lock.unlock();
        }
    }

    /** Takes what there is, or waits so long for something to come. */
    void take(List<Runnable> into, long nanos) throws InterruptedException {
        lock.lock();
        try {
            for (long left = nanos; left > 0 && first.isEmpty() && turns.isEmpty();) {
                left = something.awaitNanos(left);
            }
            into.addAll(first);
            first.clear();
            for (int n = Math.min(TURNS_MOST, turns.size()); n > 0; n--) {
                Inbox of = turns.poll();
                into.add(of.pieces.poll());
                if (!of.pieces.isEmpty()) {
                    turns.add(of);
                }
                if (of.suspended && of.pieces.size() < PIECES_MOST) {
                    of.suspended = false;
                    of.resume.run();
                }
            }
        } finally {
            lock.unlock();
        }
    }
}
