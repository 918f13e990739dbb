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
import tallyweir.store.ReplyReader;

/**
 * Calls to the store. Each is sent at most once, ends once and is timed here. A link carries one call at a time and is reused
 * only after a complete reply, so a malformed or late reply or a broken link costs only that one call. Called on the deciding
 * thread; times are tenths of a millisecond.
 */
final class Store {
    // A store may drop an idle link and reset it at the next call, which is then lost: no link is idle for that long.
    private static final long MAX_IDLE_TENTHS_MS = 5_000;

    private static final class Call {
        final InFlight query;
        final byte[] body;
        final long deadline;
        final long startedAt;
        StoreLink link;
        boolean sent;
        Deadlines.Deadline timeoutDeadline;

        Call(InFlight query, byte[] body, long startedAt, long deadline) {
            this.query = query;
            this.body = body;
            this.startedAt = startedAt;
            this.deadline = deadline;
        }
    }

    private final Links links;
    private final LongSupplier linkIds;
    private final Deadlines deadlines;
    private final Counters counters;
    private final Queries queries;
    private final int maxLinks;
    private final RateLimitedLog warnings;
    private final PeerMonitor monitor;
    private final Map<JobId, Call> calls = new LinkedHashMap<>();
    private final Map<LinkId, StoreLink> storeLinks = new HashMap<>();
    private final ArrayDeque<StoreLink> idleLinks = new ArrayDeque<>(); // most recently used first
    private final ArrayDeque<Call> waitingCalls = new ArrayDeque<>(); // for a link, as the maximum number is open

    Store(Links links, LongSupplier linkIds, Deadlines deadlines, Counters counters, Queries queries, int maxLinks) {
        this.links = links;
        this.linkIds = linkIds;
        this.deadlines = deadlines;
        this.counters = counters;
        this.queries = queries;
        this.maxLinks = maxLinks;
        warnings = new RateLimitedLog(Store.class, queries::now);
        monitor = new PeerMonitor(links, deadlines, counters, Peer.STORE);
    }

    /** The number of open and opening links. */
    int linkCount() {
        return storeLinks.size();
    }

    /** Sends a call on an idle or a new link; it waits for one while the maximum number of links is in use. */
    void call(InFlight query, byte[] body, long timeout) {
        counters.add(Count.CALLS_ASKED);
        Call c = new Call(query, body, queries.now(), queries.now() + timeout);
        calls.put(query.job, c);
        c.timeoutDeadline = deadlines.set(c.deadline, () -> onTimeout(c));
        assignLink(c);
    }

    /**
     * Assigns a link to a call. A duplicate reply may still arrive on the link that delivered the first one and would be taken
     * for the reply to a later call of the same query, so each call of a query uses another link.
     */
    private void assignLink(Call c) {
        StoreLink free = idleLinks.stream()
                .filter(l -> Objects.equals(l.address, c.query.storeAddress) && !c.query.callLinks.contains(l.id))
                .findFirst()
                .orElse(null);
        if (free != null) {
            free.assign(c);
            free.send();
        } else if (storeLinks.size() < maxLinks || makeRoom()) {
            new StoreLink(c.query.storeAddress).open(c);
        } else {
            waitingCalls.add(c);
        }
    }

    private boolean makeRoom() {
        if (!idleLinks.isEmpty()) {
            idleLinks.peekLast().drop();
        }
        return storeLinks.size() < maxLinks;
    }

    /** Cancels the call of a query whose run has ended, so that its result is no longer needed. */
    void cancel(InFlight query) {
        Call c = calls.get(query.job);
        if (c != null && c.query == query) {
            end(c);
        }
    }

    /** Ends a call. If it still awaits its reply, the link is closed, which also cancels the call at the store. */
    private void end(Call c) {
        calls.remove(c.query.job);
        deadlines.cancel(c.timeoutDeadline);
        waitingCalls.remove(c);
        if (c.link != null) {
            c.link.drop();
        }
        assignWaitingCalls();
    }

    private void assignWaitingCalls() {
        while (!waitingCalls.isEmpty() && (storeLinks.size() < maxLinks || !idleLinks.isEmpty())) {
            assignLink(waitingCalls.poll());
        }
    }

    /** A call that was never sent has certainly not run, so its outcome is not that of a timeout. */
    private void onTimeout(Call c) {
        end(c, Count.CALLS_TIMED_OUT, Outcome.OVERDUE);
    }

    private void end(Call c, Count count, Outcome outcome) {
        end(c);
        counters.add(c.sent ? count : Count.CALLS_NEVER_SENT);
        queries.callEnded(c.query, c.sent ? outcome : Outcome.REFUSED_CONN, queries.now() - c.startedAt, null);
    }

    /** A link is open: sends the call that waits for it. */
    void onLinkUp(LinkId id) {
        StoreLink line = storeLinks.get(id);
        if (line != null) {
            counters.add(Count.STORE_LINKS);
            monitor.reachable(queries.now());
            line.send();
        }
    }

    /**
     * A link was refused or broken. A call that was sent on it may have run; one that was not has certainly not run.
     *
     * @param unwritten whether no byte of what was sent has left this process
     */
    void onLinkDown(LinkId id, boolean unwritten) {
        StoreLink line = storeLinks.get(id);
        if (line != null) {
            line.onBroken(unwritten);
        }
    }

    void read(LinkId id, ByteBuffer bytes) {
        StoreLink line = storeLinks.get(id);
        if (line != null) {
            line.replies.read(bytes);
        }
    }

    /**
     * The address in the configuration has changed. A call that was sent may still end on its old link; other calls get links to
     * the new address.
     */
    void onAddressChanged() {
        for (StoreLink line : List.copyOf(storeLinks.values())) {
            if (line.address != null) {
                continue; // its address comes from a revision of the fleet
            }
            Call c = line.call;
            if (c != null && c.sent) {
                line.retired = true;
            } else {
                line.drop();
                if (c != null) {
                    new StoreLink(c.query.storeAddress).open(c);
                }
            }
        }
    }

    /** One link to a store; it leaves the tables only in release. */
    private final class StoreLink implements ReplyReader.Sink {
        private final LinkId id = new LinkId(linkIds.getAsLong());
        private final ReplyReader replies = new ReplyReader(this);
        private final InetSocketAddress address; // from a revision of the fleet, null for the configured address
        private Call call;
        private boolean retired;
        private Deadlines.Deadline idleDeadline;

        private StoreLink(InetSocketAddress address) {
            this.address = address;
        }

        private void open(Call c) {
            storeLinks.put(id, this);
            assign(c);
            links.connect(id, Peer.STORE, address);
        }

        private void assign(Call c) {
            idleLinks.remove(this);
            deadlines.cancel(idleDeadline);
            call = c;
            c.link = this;
            c.query.callLinks.add(id);
        }

        private void send() {
            call.sent = true;
            counters.add(Count.CALLS_SENT);
            links.sendToPeer(
                    id, Calls.call(call.query.job, Math.max(1, (call.deadline - queries.now() + 9) / 10), call.body));
        }

        private void drop() {
            links.closeLink(id);
            release();
        }

        private void release() {
            storeLinks.remove(id);
            idleLinks.remove(this);
            deadlines.cancel(idleDeadline);
            if (call != null) {
                call.link = null;
                call = null;
            }
        }

        private void onBroken(boolean unwritten) {
            Call c = call;
            if (c != null && !c.sent) {
                monitor.unreachable(queries.now());
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
        public void onReply(JobId job, String word, byte[] body) {
            Call c = call;
            if (c == null || !c.sent || !c.query.job.equals(job)) {
                counters.add(Count.REPLIES_OF_NOTHING);
                return;
            }
            call = null;
            c.link = null;
            if (retired) {
                drop();
            } else {
                idleLinks.addFirst(this);
                idleDeadline = deadlines.set(queries.now() + MAX_IDLE_TENTHS_MS, this::drop);
            }
            switch (word) {
                case "OK" -> finish(c, Count.CALLS_OK, Outcome.COMPLETED, body);
                case "BUSY" -> finish(c, Count.CALLS_BUSY, Outcome.SATURATED, body);
                case "VOID" -> finish(c, Count.CALLS_VOID, Outcome.REFUSED_CONN, body);
                case "LATE" -> finish(c, Count.CALLS_LATE, Outcome.OVERDUE, body);
                default -> finish(c, Count.CALLS_ERR, Outcome.ERRORED, body);
            }
        }

        private void finish(Call c, Count count, Outcome outcome, byte[] body) {
            Store.this.end(c);
            counters.add(count);
            queries.callEnded(c.query, outcome, queries.now() - c.startedAt, body);
        }

        @Override
        public void onInvalidStream(String reason) {
            counters.add(Count.REPLIES_SPOILT);
            warnings.warn("store: " + reason + "; the link is dropped");
            links.closeLink(id);
            onBroken(false);
        }
    }
}
