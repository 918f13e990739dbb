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
 * Calls to the store: each is sent once, ends once, and is timed here. A link carries one call at a time, and is
 * used again only after a whole reply to it: whatever is spoilt, late or broken costs that one call.
 */
final class Store {
    // A store may forget an idle link and reset it at the next call, which then is lost: none waits as long.
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
    private final ArrayDeque<Line> idle = new ArrayDeque<>(); // the one used last comes first
    private final ArrayDeque<Call> waiting = new ArrayDeque<>(); // for a link, the table being full

    Store(Links links, LongSupplier numbers, Deadlines deadlines, Counters counters, Queries queries, int most) {
        this.links = links;
        this.numbers = numbers;
        this.deadlines = deadlines;
        this.counters = counters;
        this.queries = queries;
        this.most = most;
        warnings = new RateLimitedLog(Store.class, queries::now);
        monitor = new PeerMonitor(links, deadlines, counters, Peer.STORE);
    }

    int size() {
        return lines.size();
    }

    void call(InFlight t, byte[] body, long timeOut) {
        counters.add(Count.CALLS_ASKED);
        Call c = new Call(t, body, queries.now(), queries.now() + timeOut);
        calls.put(t.job, c);
        c.end = deadlines.set(c.until, () -> timedOut(c));
        place(c);
    }

    /**
     * A second copy of a reply may still come on the link that brought the first. It would be taken for the reply
     * to a later call of the same query, so that goes another way.
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

    /** The run that called has ended: whatever the store still does for it is not wanted. */
    void giveUp(InFlight t) {
        Call c = calls.get(t.job);
        if (c != null && c.of == t) {
            end(c);
        }
    }

    /** A link whose call has not had its reply is closed, which also gives the call up at the store. */
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

    /** A call that was never sent has surely not run, whatever became of the link. */
    private void timedOut(Call c) {
        end(c, Count.CALLS_TIMED_OUT, Outcome.OVERDUE);
    }

    private void end(Call c, Count count, Outcome how) {
        end(c);
        counters.add(c.sent ? count : Count.CALLS_NEVER_SENT);
        queries.callEnded(c.of, c.sent ? how : Outcome.REFUSED_CONN, queries.now() - c.since, null);
    }

    void up(LinkId id) {
        Line line = lines.get(id);
        if (line != null) {
            counters.add(Count.STORE_LINKS);
            monitor.there(queries.now());
            line.send();
        }
    }

    /** Refused or broken: what was sent may have run, what was not, or of which nothing left this process, has not. */
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

    /** The store has another address: a call in hand may still end on its old link, no other begins there. */
    void moved() {
        for (Line line : List.copyOf(lines.values())) {
            if (line.to != null) {
                continue; // the fleet says where that one is
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

    /** One link; it is given back in release and nowhere else. */
    private final class Line implements Replies.Sink {
        private final LinkId id = new LinkId(numbers.getAsLong());
        private final Replies replies = new Replies(this);
        private final InetSocketAddress to; // by a revision of the fleet, null for where it was configured
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
                c.sent = false; // an idle link that the store closed in the moment in which it was taken
            }
            release();
            if (c != null) {
                end(c, Count.CALLS_BROKEN, Outcome.SEVERED);
            }
        }

        /** What belongs to no call of this link, an unknown id or a second copy, is passed over. */
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

        private void over(Call c, Count count, Outcome how, byte[] body) {
            Store.this.end(c);
            counters.add(count);
            queries.callEnded(c.of, how, queries.now() - c.since, body);
        }

        @Override
        public void bad(String why) {
            counters.add(Count.REPLIES_SPOILT);
            warnings.warn("store: " + why + "; its link is dropped");
            links.drop(id);
            broken(false);
        }
    }
}
