package tallyweir.backend;

import java.nio.ByteBuffer;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import tallyweir.Outcome;
import tallyweir.backend.Counters.Count;
import tallyweir.ids.JobId;
import tallyweir.store.Calls;
import tallyweir.store.Replies;

/** Calls to the store: each is sent once, ends once, and is timed here. The link opens when a call wants it. */
final class Store implements Replies.Sink {

    private static final long NEVER = Long.MAX_VALUE;

    private enum Link { OFF, OPENING, UP }

    private static final class Call {
        final Taken of;
        final byte[] body;
        final long until;
        final long since;
        boolean sent;
        Deadlines.Deadline end;

        Call(Taken of, byte[] body, long since, long until) {
            this.of = of;
            this.body = body;
            this.since = since;
            this.until = until;
        }
    }

    private final Links links;
    private final Deadlines deadlines;
    private final Counters counters;
    private final Queries queries;
    private final long silentMost;
    private final Seldom warnings;
    private final Map<JobId, Call> calls = new LinkedHashMap<>();
    private Link link = Link.OFF;
    private Replies replies;
    private long unheardSince = NEVER;  // the first call sent since something was last heard

    Store(Links links, Deadlines deadlines, Counters counters, Queries queries, long silentMost) {
        this.links = links;
        this.deadlines = deadlines;
        this.counters = counters;
        this.queries = queries;
        this.silentMost = silentMost;
        warnings = new Seldom(Store.class, queries::now);
    }

    void call(Taken t, byte[] body, long timeOut) {
        counters.add(Count.CALLS_ASKED);
        long now = queries.now();
        Call c = new Call(t, body, now, now + timeOut);
        calls.put(t.job, c);
        c.end = deadlines.set(c.until, () -> timedOut(c));
        if (link == Link.UP) {
            send(c);
        } else if (link == Link.OFF) {
            link = Link.OPENING;
            links.connect(Peer.STORE);
        }
    }

    /** The run that called has ended: whatever the store still does for it is not wanted. */
    void giveUp(Taken t) {
        Call c = calls.get(t.job);
        if (c != null && c.of == t) {
            end(c);
            drop(c);
        }
    }

    private void send(Call c) {
        c.sent = true;
        unheardSince = Math.min(unheardSince, queries.now());
        counters.add(Count.CALLS_SENT);
        links.to(Peer.STORE, Calls.call(c.of.job, Math.max(1, (c.until - queries.now() + 9) / 10), c.body));
    }

    private void drop(Call c) {
        if (c.sent && link == Link.UP) {
            links.to(Peer.STORE, Calls.drop(c.of.job));
        }
    }

    private void end(Call c) {
        calls.remove(c.of.job);
        deadlines.cancel(c.end);
    }

    /** A call that was never sent has surely not run, whatever became of the link. */
    private void timedOut(Call c) {
        end(c);
        // No reply to anything for as long as a call may take: the other end is gone without a word.
        if (link == Link.UP && queries.now() - unheardSince >= silentMost) {
            bad("nothing heard for " + silentMost / 10 + " ms");
        }
        drop(c);
        counters.add(c.sent ? Count.CALLS_TIMED_OUT : Count.CALLS_NEVER_SENT);
        queries.callEnded(c.of, c.sent ? Outcome.OVERDUE : Outcome.REFUSED_CONN, queries.now() - c.since, null);
    }

    void up() {
        link = Link.UP;
        unheardSince = NEVER;
        replies = new Replies(this);
        counters.add(Count.STORE_LINKS);
        List.copyOf(calls.values()).forEach(this::send);
    }

    /** Refused or broken: what was sent may have run, what was not has not. */
    void down() {
        link = Link.OFF;
        for (Call c : List.copyOf(calls.values())) {
            end(c);
            counters.add(c.sent ? Count.CALLS_BROKEN : Count.CALLS_NEVER_SENT);
            queries.callEnded(c.of, c.sent ? Outcome.SEVERED : Outcome.REFUSED_CONN, queries.now() - c.since, null);
        }
    }

    void read(ByteBuffer bytes) {
        unheardSince = NEVER;
        replies.read(bytes);
    }

    @Override
    public void replied(JobId job, String word, byte[] body) {
        Call c = calls.get(job);
        if (c == null) {
            return;  // given up meanwhile
        }
        end(c);
        Outcome how = switch (word) {
            case "OK" -> counted(Count.CALLS_OK, Outcome.COMPLETED);
            case "BUSY" -> counted(Count.CALLS_BUSY, Outcome.SATURATED);
            case "VOID" -> counted(Count.CALLS_VOID, Outcome.REFUSED_CONN);
            case "LATE" -> counted(Count.CALLS_LATE, Outcome.OVERDUE);
            default -> counted(Count.CALLS_ERR, Outcome.ERRORED);
        };
        queries.callEnded(c.of, how, queries.now() - c.since, body);
    }

    private Outcome counted(Count count, Outcome how) {
        counters.add(count);
        return how;
    }

    @Override
    public void bad(String why) {
        warnings.warn("store: " + why + "; the link is dropped");
        links.drop(Peer.STORE);
        down();
    }
}
