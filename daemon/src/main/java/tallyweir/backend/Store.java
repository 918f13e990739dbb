package tallyweir.backend;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.LongSupplier;
import tallyweir.Outcome;
import tallyweir.backend.Counters.Count;
import tallyweir.ids.JobId;
import tallyweir.ids.LinkId;
import tallyweir.store.Calls;
import tallyweir.store.Replies;

/**
 * Calls to the store. Each is sent at most once, ends once and is timed here. A link carries one call at a time and is reused
 * only after a complete reply, so a malformed or late reply or a broken link costs only that one call. Called on the deciding
 * thread; times are tenths of a millisecond.
 */
final class Store {
    // A store may drop an idle link and reset it at the next call, which is then lost: no link is idle for that long.
    private static final long IDLE_MOST = 5_000;

    private static final class Call {
        final InFlight of;
        final byte[] body;
        final long until;
        final long since;
        Line line;
        boolean sent;
        Deadlines.Deadline end;

        Call(InFlight of, byte[] body, long since, long until) {
            this.of = of;
            this.body = body;
            this.since = since;
            this.until = until;
        }
    }

    private final Links links;
    private final LongSupplier numbers;
    private final Deadlines deadlines;
    private final Counters counters;
    private final Queries queries;
    private final int most;
    private final RateLimitedLog warnings;
    private final PeerMonitor monitor;
    private final Map<JobId, Call> calls = new LinkedHashMap<>();
    private final Map<LinkId, Line> lines = new HashMap<>();
    private final ArrayDeque<Line> idle = new ArrayDeque<>(); // most recently used first
    private final ArrayDeque<Call> waiting = new ArrayDeque<>(); // for a link, as the maximum number is open

    Store(Links links, LongSupplier linkIds, Deadlines deadlines, Counters counters, Queries queries, int maxLinks) {
        this.links = links;
        this.numbers = linkIds;
        this.deadlines = deadlines;
        this.counters = counters;
        this.queries = queries;
        this.most = maxLinks;
        warnings = new RateLimitedLog(Store.class, queries::now);
        monitor = new PeerMonitor(links, deadlines, counters, Peer.STORE);
    }

    /** The number of open and opening links. */
    int size() {
        return lines.size();
    }

    /** Sends a call on an idle or a new link; it waits for one while the maximum number of links is in use. */
    void call(InFlight query, byte[] body, long timeout) {
        counters.add(Count.CALLS_ASKED);
        Call c = new Call(query, body, queries.now(), queries.now() + timeout);
        calls.put(query.job, c);
        c.end = deadlines.set(c.until, () -> timedOut(c));
        place(c);
    }

    /**
     * Assigns a link to a call. A duplicate reply may still arrive on the link that delivered the first one and would be taken
     * for the reply to a later call of the same query, so each call of a query uses another link.
     */
    private void place(Call c) {
        Line free = idle.stream()
                .filter(l -> Objects.equals(l.to, c.of.store) && !c.of.calledOn.contains(l.id))
                .findFirst()
                .orElse(null);
        if (free != null) {
            free.take(c);
            free.send();
        } else if (lines.size() < most || makeRoom()) {
            new Line(c.of.store).open(c);
        } else {
            waiting.add(c);
        }
    }

    private boolean makeRoom() {
        if (!idle.isEmpty()) {
            idle.peekLast().drop();
        }
        return lines.size() < most;
    }

    /** Cancels the call of a query whose run has ended, so that its result is no longer needed. */
    void giveUp(InFlight query) {
        Call c = calls.get(query.job);
        if (c != null && c.of == query) {
            end(c);
        }
    }

    /** Ends a call. If it still awaits its reply, the link is closed, which also cancels the call at the store. */
    private void end(Call c) {
        calls.remove(c.of.job);
        deadlines.cancel(c.end);
        waiting.remove(c);
        if (c.line != null) {
            c.line.drop();
        }
        next();
    }

    private void next() {
        while (!waiting.isEmpty() && (lines.size() < most || !idle.isEmpty())) {
            place(waiting.poll());
        }
    }

    /** A call that was never sent has certainly not run, so its outcome is not that of a timeout. */
    private void timedOut(Call c) {
        end(c, Count.CALLS_TIMED_OUT, Outcome.OVERDUE);
    }

    private void end(Call c, Count count, Outcome outcome) {
        end(c);
        counters.add(c.sent ? count : Count.CALLS_NEVER_SENT);
        queries.callEnded(c.of, c.sent ? outcome : Outcome.REFUSED_CONN, queries.now() - c.since, null);
    }

    /** A link is open: sends the call that waits for it. */
    void up(LinkId id) {
        Line line = lines.get(id);
        if (line != null) {
            counters.add(Count.STORE_LINKS);
            monitor.there(queries.now());
            line.send();
        }
    }

    /**
     * A link was refused or broken. A call that was sent on it may have run; one that was not has certainly not run.
     *
     * @param unwritten whether no byte of what was sent has left this process
     */
    void down(LinkId id, boolean unwritten) {
        Line line = lines.get(id);
        if (line != null) {
            line.broken(unwritten);
        }
    }

    void read(LinkId id, ByteBuffer bytes) {
        Line line = lines.get(id);
        if (line != null) {
            line.replies.read(bytes);
        }
    }

    /**
     * The address in the configuration has changed. A call that was sent may still end on its old link; other calls get links to
     * the new address.
     */
    void moved() {
        for (Line line : List.copyOf(lines.values())) {
            if (line.to != null) {
                continue; // its address comes from a revision of the fleet
            }
            Call c = line.call;
            if (c != null && c.sent) {
                line.old = true;
            } else {
                line.drop();
                if (c != null) {
                    new Line(c.of.store).open(c);
                }
            }
        }
    }

    /** One link to a store; it leaves the tables only in release. */
    private final class Line implements Replies.Sink {
        private final LinkId id = new LinkId(numbers.getAsLong());
        private final Replies replies = new Replies(this);
        private final InetSocketAddress to; // from a revision of the fleet, null for the configured address
        private Call call;
        private boolean old;
        private Deadlines.Deadline idleEnd;

        private Line(InetSocketAddress to) {
            this.to = to;
        }

        private void open(Call c) {
            lines.put(id, this);
            take(c);
            links.connect(id, Peer.STORE, to);
        }

        private void take(Call c) {
            idle.remove(this);
            deadlines.cancel(idleEnd);
            call = c;
            c.line = this;
            c.of.calledOn.add(id);
        }

        private void send() {
            call.sent = true;
            counters.add(Count.CALLS_SENT);
            links.to(id, Calls.call(call.of.job, Math.max(1, (call.until - queries.now() + 9) / 10), call.body));
        }

        private void drop() {
            links.drop(id);
            release();
        }

        private void release() {
            lines.remove(id);
            idle.remove(this);
            deadlines.cancel(idleEnd);
            if (call != null) {
                call.line = null;
                call = null;
            }
        }

        private void broken(boolean unwritten) {
            Call c = call;
            if (c != null && !c.sent) {
                monitor.gone(queries.now());
            }
            if (c != null && unwritten) {
                c.sent = false; // the store closed the idle link at the moment the call was sent
            }
            release();
            if (c != null) {
                end(c, Count.CALLS_BROKEN, Outcome.SEVERED);
            }
        }

        /** Ignores a reply that does not belong to the current call: one with an unknown id, or a duplicate. */
        @Override
        public void replied(JobId job, String word, byte[] body) {
            Call c = call;
            if (c == null || !c.sent || !c.of.job.equals(job)) {
                counters.add(Count.REPLIES_OF_NOTHING);
                return;
            }
            call = null;
            c.line = null;
            if (old) {
                drop();
            } else {
                idle.addFirst(this);
                idleEnd = deadlines.set(queries.now() + IDLE_MOST, this::drop);
            }
            switch (word) {
                case "OK" -> over(c, Count.CALLS_OK, Outcome.COMPLETED, body);
                case "BUSY" -> over(c, Count.CALLS_BUSY, Outcome.SATURATED, body);
                case "VOID" -> over(c, Count.CALLS_VOID, Outcome.REFUSED_CONN, body);
                case "LATE" -> over(c, Count.CALLS_LATE, Outcome.OVERDUE, body);
                default -> over(c, Count.CALLS_ERR, Outcome.ERRORED, body);
            }
        }

        private void over(Call c, Count count, Outcome outcome, byte[] body) {
            Store.this.end(c);
            counters.add(count);
            queries.callEnded(c.of, outcome, queries.now() - c.since, body);
        }

        @Override
        public void bad(String reason) {
            counters.add(Count.REPLIES_SPOILT);
            warnings.warn("store: " + reason + "; the link is dropped");
            links.drop(id);
            broken(false);
        }
    }
}
