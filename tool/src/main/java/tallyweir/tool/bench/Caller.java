package tallyweir.tool.bench;

import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * One caller: it keeps a connection while the server does, opens another for its next query where the server has closed it,
 * and sends a query once more where a close crossed it, as the protocol of the sidecars has it.
 */
final class Caller implements Runnable {
    private static final int TRIES = 2;
    private static final int PATIENCE_MILLIS = 1_500;

    /** Told how each query ended and how long it took from its intended start. */
    interface Listener {
        void ended(QueryOutcome outcome, long latencyNanos);
    }

    private final int port;
    private final int number;
    private final ArrivalSchedule schedule;
    private final long start;
    private final Listener listener;
    private final AtomicLong opened;
    private final AtomicLong closedUnderQuery;
    private CallerConnection connection;

    Caller(
            int port,
            int number,
            ArrivalSchedule schedule,
            long start,
            Listener listener,
            AtomicLong opened,
            AtomicLong closedUnderQuery) {
        this.port = port;
        this.number = number;
        this.schedule = schedule;
        this.start = start;
        this.listener = listener;
        this.opened = opened;
        this.closedUnderQuery = closedUnderQuery;
    }

    @Override
    public void run() {
        while (schedule.hasNext()) {
            Arrival arrival = schedule.next();
            long intended = start + arrival.offsetNanos();
            idleUntil(intended);
            QueryOutcome outcome = send(arrival, intended);
            listener.ended(outcome, System.nanoTime() - intended);
        }
        drop();
    }

    /** Waits, and closes the connection as soon as the server does. */
    private void idleUntil(long nanoTime) {
        long left = TimeUnit.NANOSECONDS.toMillis(nanoTime - System.nanoTime());
        if (connection != null && left > 0 && connection.closesWithin((int) left)) {
            drop();
        }
        left = TimeUnit.NANOSECONDS.toMillis(nanoTime - System.nanoTime());
        try {
            TimeUnit.MILLISECONDS.sleep(Math.max(0, left));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private QueryOutcome send(Arrival arrival, long intended) {
        for (int tries = 0; tries < TRIES; tries++) {
            long left = PATIENCE_MILLIS - TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - intended);
            try {
                if (left <= 0) {
                    return QueryOutcome.DISCONNECTED;
                }
                if (connection == null) {
                    connection = new CallerConnection(port);
                    opened.incrementAndGet();
                }
                return QueryOutcome.of(connection.ask(arrival, number, (int) left));
            } catch (IOException e) {
                closedUnderQuery.incrementAndGet();
                drop();
            }
        }
        return QueryOutcome.DISCONNECTED;
    }

    private void drop() {
        if (connection != null) {
            connection.close();
            connection = null;
        }
    }
}
