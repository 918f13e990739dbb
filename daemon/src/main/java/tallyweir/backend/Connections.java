package tallyweir.backend;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import tallyweir.Effect;
import tallyweir.backend.Counters.Count;
import tallyweir.config.Settings;
import tallyweir.fastcgi.Fields;
import tallyweir.fastcgi.Reader;
import tallyweir.fastcgi.Records;
import tallyweir.ids.CallerId;
import tallyweir.ids.ConnectionId;
import tallyweir.ids.JobId;
import tallyweir.ids.RequestId;
import tallyweir.ids.SubjectId;
import tallyweir.ids.TenantId;
import tallyweir.ids.WorkloadId;

/**
 * The FastCGI front end: the connections of callers in numbered slots, the requests on them, health checks and the closing of
 * idle connections. All methods are called on the deciding thread. Times are tenths of a millisecond.
 */
final class Connections {
    private static final String RUN_PATH = "/do/";
    private static final String CHECK_PATH = "/check";
    private static final String COUNTERS_PATH = "/counters";
    private static final double SIZE_MOST = 2_000; // limit of the protocol
    private static final long HALF_MOST =
            20_000; // a silent connection or incomplete request is ended within three seconds
    private static final int HALVES_MOST = 1_024;
    private static final long END_AGAIN = 100; // pending input and output are handled before the close
    private static final long NEWCOMER = 1_000; // 0.1 s, in which the first request may be on its way
    private static final long LINGER = 10_000; // 1 s: a peer that heeds the half-close does so sooner
    private static final int LINGERS_APART = 8; // one in so many connections may be draining
    private static final byte[] NONE = {};

    private final Links links;
    private final Deadlines deadlines;
    private final Counters counters;
    private final Queries queries;
    private final RateLimitedLog warnings;
    private final RateLimitedLog endings;
    private final Slots<Connection> slots = new Slots<>();
    private final ConnectionLimits limits;
    private final long halfFor;
    private final long idleMost;
    private final long longestHard;
    private final Set<String> tenants;
    private final boolean tellsPatience;
    private long idleFor;
    private int halves;
    private boolean good = true;
    private boolean back; // the server is withdrawn: new queries are deferred
    private boolean leaving; // the server shuts down soon: idle connections are closed
    private Deadlines.Deadline makeRoomAgain; // null while no retry is scheduled
    private final ArrayDeque<Connection> lingering =
            new ArrayDeque<>(); // half-closed by us and not yet closed by the peer, oldest first

    Connections(
            Links links,
            Deadlines deadlines,
            Counters counters,
            Queries queries,
            Settings settings,
            ConnectionLimits limits) {
        this.links = links;
        this.deadlines = deadlines;
        this.counters = counters;
        this.queries = queries;
        this.limits = limits;
        warnings = new RateLimitedLog(Connections.class, queries::now);
        endings = new RateLimitedLog(Connections.class, queries::now);
        longestHard = settings.longestHard();
        halfFor = Math.min(HALF_MOST, Math.max(HALF_MOST / 2, longestHard));
        idleMost = Math.max(10_000, settings.idleMost());
        idleFor = idleMost;
        tenants = settings.tenants();
        tellsPatience = settings.tellsPatience();
    }

    /** Registers an accepted connection and returns its slot. Above the soft limit, another one is closed to make room. */
    ConnectionId accepted() {
        if (slots.size() >= limits.usual()) {
            makeRoom();
        }
        counters.add(Count.CONNECTIONS_ACCEPTED);
        Connection c = new Connection();
        c.slot = new ConnectionId(slots.add(c));
        c.accepted = queries.now();
        c.idleSince = queries.now();
        c.rest(halfFor); // the first request is expected within this timeout
        if (leaving) {
            deadlines.set(queries.now() + NEWCOMER, c::leave);
        }
        return c.slot;
    }

    /**
     * Makes room when no further connection can be accepted and callers wait in the listener's queue with what they have
     * written. Several idle connections are half-closed at once, and peers that heed it make room by closing their side. Once
     * the maximum number of connections is draining, each further one drops the oldest of them: otherwise a flood of clients
     * that ignore the half-close would keep all others out for the whole drain timeout.
     */
    void full() {
        boolean room = makeRoom();
        while (room && lingering.size() <= lingersMost()) {
            room = makeRoom();
        }
        if (lingering.size() > lingersMost()) {
            lingering.peek().drop();
        } else if (lingering.isEmpty() && slots.all().stream().noneMatch(Connection::owesNothing)) {
            counters.add(Count.CONNECTIONS_WAITED);
        } else if (lingering.isEmpty() && makeRoomAgain == null) {
            makeRoomAgain = deadlines.set(queries.now() + END_AGAIN, this::fullAgain);
        }
    }

    /** Retries after unwritten answers or unread requests prevented all connections from being closed. */
    private void fullAgain() {
        makeRoomAgain = null;
        if (links.callersWait()) {
            full();
        }
    }

    /**
     * Closes the listener before the shutdown. This comes before {@link #leave}, since a caller whose connection is closed
     * while the listener is open would reconnect at once.
     */
    void stopListening() {
        links.stopListening();
    }

    /**
     * Closes each connection as soon as no answer is pending on it; called once the listener is closed. A request that arrives
     * later would be left unread when the process is killed, while a caller that sees the close before sends it elsewhere.
     */
    void leave() {
        if (!leaving) {
            leaving = true;
            slots.all().forEach(Connection::leave);
        }
    }

    /** Handles bytes of a caller; those after our half-close are discarded. */
    void read(ConnectionId slot, ByteBuffer bytes) {
        Connection c = slots.get(slot.value());
        if (c == null) {
            return;
        }
        if (c.closing || c.ending) {
            c.passOver(bytes);
        } else {
            c.read(bytes);
        }
    }

    /** A connection is closed on both sides or broken; its slot is free again. */
    void closed(ConnectionId slot) {
        Connection c = slots.get(slot.value());
        if (c != null) {
            counters.add(Count.CONNECTIONS_ENDED);
            slots.free(slot.value());
            c.closed();
        }
    }

    /** Sets the result of health checks, as the decisions ask for it. */
    void health(boolean good) {
        this.good = good;
    }

    /** Sets whether the server is withdrawn: while it is, new queries are deferred at once and the health check fails. */
    void standBack(boolean back) {
        this.back = back;
    }

    /** Sets the idle timeout that the decisions ask for, and applies it to connections that are idle already. */
    void closeIdle(long timeout) {
        idleFor = timeout;
        for (Connection c : slots.all()) {
            if (c.idle != null && c.used && c.reader.betweenRecords()) {
                c.idleOver();
            }
        }
    }

    /**
     * How long a connection may be idle. A request that is unread when its connection is closed is lost, and the shortest
     * timeouts that the decisions ask for are less than the duration of a round on a busy core. So no connection is closed
     * within the longest time that a caller waits, nor before the maximum idle timeout while the table is at most half full.
     */
    private long idleFor() {
        return slots.size() > limits.usual() / 2 ? Math.max(idleFor, longestHard) : idleMost;
    }

    int size() {
        return slots.size();
    }

    /** The number of connections in each state, by the name of the state. */
    Map<String, Long> states() {
        Map<String, Long> byState = new TreeMap<>();
        slots.all().forEach(c -> byState.merge(c.state(), 1L, Long::sum));
        return byState;
    }

    private int lingersMost() {
        return limits.usual() / LINGERS_APART;
    }

    /** Whether a query on this connection would leave none that can be closed to make room, as each has a pending answer. */
    private boolean isLastWithNothingOwed(Connection c) {
        return slots.size() >= limits.most()
                && c.owed.isEmpty()
                && slots.all().stream().allMatch(other -> other == c || !other.owed.isEmpty());
    }

    /**
     * Makes room for a new connection by closing one without a pending answer. Connections that never sent a complete request
     * come first, then those that did; within each group those that are silent or idle come before those with an incomplete
     * request, longest first. A new connection is kept while its first request may be on its way, and as long as there are
     * such connections none that has sent a complete request is closed. Before these rules, a table full of incomplete
     * requests turned every caller away until they timed out, and hundreds of silent connections would have closed the idle
     * connections of active callers.
     */
    private boolean makeRoom() {
        if (lingering.size() > lingersMost()) {
            lingering.peek().drop();
            return true;
        }
        List<Connection> quiet = slots.all().stream()
                .filter(Connection::owesNothing)
                .sorted((a, b) -> a.before(b) ? -1 : b.before(a) ? 1 : 0)
                .toList();
        boolean newcomers = false;
        for (Connection c : quiet) {
            if (c.isNewcomer()) {
                newcomers = true; // whether it stays silent is known when its window ends
            } else if (newcomers && c.asked) {
                break;
            } else if (c.closeIdle()) {
                return true;
            }
        }
        boolean stuck = links.dropStuck();
        counters.add(Count.CONNECTIONS_CLOSED_STUCK, stuck ? 1 : 0);
        return stuck;
    }

    private final class Connection implements Reader.Sink {
        private final Reader reader = new Reader(this);
        private final Map<RequestId, Responder> owed = new HashMap<>();
        private final Map<RequestId, Deadlines.Deadline> half = new HashMap<>();
        private Deadlines.Deadline idle;
        private long accepted;
        private long idleSince;
        private boolean used; // any bytes
        private boolean asked; // a complete request
        private boolean ending; // no longer read; closed once the pending answers are written
        private boolean closing; // our side is half-closed
        private boolean passedOver; // bytes arrived after the half-close
        private Deadlines.Deadline lingers;
        private ConnectionId slot;

        private String state() {
            if (closing) {
                return "lingering";
            } else if (ending) {
                return "ending";
            } else if (!owed.isEmpty()) {
                return "owed";
            } else if (reader.open() > 0 || !reader.betweenRecords()) {
                return "half_read";
            }
            return used ? "resting" : "unused";
        }

        private boolean owesNothing() {
            return !closing && !ending && owed.isEmpty();
        }

        private boolean isNewcomer() {
            return !asked && queries.now() - accepted < NEWCOMER;
        }

        private boolean before(Connection o) {
            return asked != o.asked
                    ? !asked
                    : (idle != null) != (o.idle != null) ? idle != null : idleSince < o.idleSince;
        }

        private void rest(long timeout) {
            deadlines.cancel(idle);
            idle = deadlines.set(queries.now() + Math.max(0, timeout), this::idleOver);
        }

        private void stir() {
            deadlines.cancel(idle);
            idle = null;
        }

        private void restIfIdle() {
            if (closing || reader.open() > 0) {
                return;
            }
            idleSince = queries.now();
            // An incomplete record gets the timeout of an incomplete request.
            rest(reader.betweenRecords() ? idleFor() : halfFor);
            if (links.callersWait()) {
                full();
            }
        }

        private void idleOver() {
            long left = used && reader.betweenRecords() ? idleSince + idleFor() - queries.now() : 0;
            if (left > 0) {
                rest(left);
            } else if (!closeIdle()) {
                rest(halfFor); // bytes are waiting to be read or written
            }
        }

        /** Returns false without closing where bytes are unread or unwritten, which a close now would lose. */
        private boolean closeIdle() {
            boolean closed = links.endQuiet(slot);
            if (closed) {
                counters.add(Count.CONNECTIONS_CLOSED_IDLE);
                closes();
            }
            return closed;
        }

        /** Stops reading, and closes the connection once all pending answers are written. */
        private void end(Count reason) {
            if (!ending && !closing) {
                ending = true;
                reader.stop();
                counters.add(reason);
                closeIfOver();
            }
        }

        private void closeIfOver() {
            if (ending && !closing && owed.isEmpty()) {
                closes();
                links.endCaller(slot);
            }
        }

        private void closes() {
            closing = true;
            stir();
            lingering.add(this);
            lingers = deadlines.set(queries.now() + LINGER, this::drop);
        }

        /** Closes without waiting for the peer. What it sends is discarded anyway, so the close loses nothing. */
        private void drop() {
            lingering.remove(this);
            deadlines.cancel(lingers);
            counters.add(Count.CONNECTIONS_DROPPED);
            links.dropCaller(slot);
        }

        /** Closes an idle connection now; one with a pending answer is closed after that answer. */
        private void leave() {
            if (!closing && !ending && owed.isEmpty() && !links.endQuiet(slot)) {
                deadlines.set(queries.now() + END_AGAIN, this::leave);
            } else if (!closing && !ending && owed.isEmpty()) {
                counters.add(Count.CONNECTIONS_CLOSED_LEAVING);
                closes();
            }
        }

        /** Discards bytes that arrive after the half-close; their sender sees the end of the stream. */
        private void passOver(ByteBuffer bytes) {
            counters.add(Count.CONNECTIONS_WRITTEN_TO_AFTER_END, passedOver ? 0 : 1);
            counters.add(Count.BYTES_READ_AFTER_END, bytes.remaining());
            passedOver = true;
        }

        private void read(ByteBuffer bytes) {
            used = true;
            stir();
            reader.read(bytes);
            restIfIdle();
        }

        /** Cancels everything that waits for this connection: its answers can no longer be delivered. */
        private void closed() {
            closing = true;
            stir();
            lingering.remove(this);
            deadlines.cancel(lingers);
            half.values().forEach(deadlines::cancel);
            halves -= half.size();
            half.clear();
            List<Responder> undeliverable = List.copyOf(owed.values());
            owed.clear();
            undeliverable.forEach(responder -> gone(responder, "the connection was closed"));
            if (queries.fleet() != null) {
                queries.fleet().closed(slot);
            }
        }

        /** Invalidates a responder: the request id may belong to another request by the time the query is done. */
        private void gone(Responder responder, String reason) {
            responder.over = true;
            responder.counted();
            if (responder.taken != null) {
                endings.query(responder.taken.job, reason, "a query ends without an answer");
                queries.gone(responder.taken);
            }
        }

        private void write(RequestId id, byte[] records, boolean keep) {
            if (closing) {
                counters.add(Count.ANSWERS_UNDELIVERABLE);
                return;
            }
            owed.remove(id);
            reader.done(id);
            links.toCaller(slot, records);
            if (!keep) {
                end(Count.CONNECTIONS_CLOSED_ASKED);
            } else if (ending) {
                closeIfOver();
            } else if (leaving && owed.isEmpty()) {
                deadlines.set(queries.now(), this::leave);
            } else {
                restIfIdle();
            }
        }

        private void whole(RequestId id) {
            Deadlines.Deadline timeout = half.remove(id);
            if (timeout != null) {
                deadlines.cancel(timeout);
                halves--;
            }
        }

        @Override
        public boolean begun(RequestId id) {
            half.put(id, deadlines.set(queries.now() + halfFor, () -> halfTooLong(id)));
            halves++;
            idleSince = queries.now();
            return halves <= HALVES_MOST;
        }

        private void halfTooLong(RequestId id) {
            whole(id);
            counters.add(Count.QUERIES_HALF);
            write(id, Records.answer(id, 408, "", NONE), true);
        }

        @Override
        public void request(RequestId id, Fields fields, byte[] body, boolean keep) {
            whole(id);
            asked = true;
            String path = fields.text(Fields.PATH);
            if (CHECK_PATH.equals(path)) {
                counters.add(Count.CHECKS);
                write(id, Records.answer(id, good && !back && !queries.draining() ? 200 : 503, "", NONE), keep);
            } else if (COUNTERS_PATH.equals(path)) {
                byte[] text = counters.text().getBytes(UTF_8);
                write(id, Records.answer(id, 200, "Content-Type: text/plain\r\n", text), keep);
            } else {
                query(id, fields, path == null ? "" : path, body, keep);
            }
        }

        /** Turns a valid request for a known workload into a query; any other request is answered at once and nothing runs. */
        private void query(RequestId id, Fields fields, String path, byte[] body, boolean keep) {
            WorkloadId workload = new WorkloadId(path.startsWith(RUN_PATH) ? path.substring(RUN_PATH.length()) : "");
            if (!queries.knows(workload)) {
                malformed(id, 404, "no workload at '" + path + "'", keep);
                return;
            }
            if (!"POST".equals(fields.text(Fields.METHOD))) {
                malformed(id, 405, "the method is not POST", keep);
                return;
            }
            Effect effect = queries.effect(workload);
            JobId job;
            String tenant;
            String subject;
            String key;
            double size;
            double rank;
            long receivedAt;
            long timeout;
            CallerId caller;
            try {
                job = new JobId(fields.text(fields.needed(Fields.ID)));
                tenant = !tenants.isEmpty() ? fields.text(fields.needed(Fields.TENANT)) : null;
                subject = fields.text(Fields.SUBJECT);
                key = effect == Effect.STAMPED ? fields.text(fields.needed(Fields.STAMP)) : subject;
                size = fields.number(Fields.SIZE);
                rank = fields.number(Fields.RANK);
                receivedAt = fields.whole(Fields.RECEIVED) * 10;
                timeout = tellsPatience ? fields.whole(Fields.PATIENCE) * 10 : -1;
                caller = new CallerId(fields.whole(Fields.CALLER));
                inRange(Fields.ID, job.value().matches("[0-9a-fA-F]{16}"));
                inRange(Fields.SIZE, size > 0 && size < SIZE_MOST);
                inRange(Fields.RANK, rank < 1);
                inRange(Fields.PATIENCE, timeout <= longestHard);
                inRange(Fields.RECEIVED, !queries.farAhead(receivedAt));
                inRange(Fields.TENANT, tenant == null || tenants.contains(tenant));
            } catch (IllegalArgumentException e) {
                malformed(id, 400, e.getMessage(), keep);
                return;
            }
            Responder responder = new Responder(this, id, keep);
            FleetMembership fleet = queries.fleet();
            if (back) {
                counters.add(Count.STOOD_BACK);
                responder.deferred(fleet.backOff(), false);
                return;
            }
            if (fleet != null && tenant != null) {
                if (!fleet.enter(slot, new TenantId(tenant))) {
                    counters.add(Count.CAPPED);
                    responder.deferred(fleet.backOff(), fleet.full(new TenantId(tenant)));
                    return;
                }
                responder.counts = new TenantId(tenant);
            }
            boolean last = isLastWithNothingOwed(this);
            counters.add(Count.QUERIES_ON_LAST_CONNECTION, last ? 1 : 0);
            owed.put(id, responder);
            responder.taken = queries.read(
                    responder,
                    job,
                    workload,
                    body,
                    receivedAt,
                    caller,
                    subject == null ? null : new SubjectId(subject),
                    key == null ? null : new SubjectId(key),
                    tenant == null ? null : new TenantId(tenant),
                    size,
                    rank,
                    timeout,
                    "1".equals(fields.text(Fields.AGAIN)),
                    last);
        }

        private static void inRange(String field, boolean inRange) {
            if (!inRange) {
                throw new IllegalArgumentException(field + " is out of range");
            }
        }

        private void malformed(RequestId id, int status, String reason, boolean keep) {
            counters.add(Count.QUERIES_MALFORMED);
            warnings.warn("a query was not taken, " + status + ": " + reason);
            write(id, Records.answer(id, status, "", NONE), keep);
        }

        @Override
        public void refused(RequestId id, Reader.Refusal reason, boolean keep) {
            whole(id);
            switch (reason) {
                case OVERLOADED -> write(id, Records.overloaded(id), keep);
                case ROLE -> write(id, Records.unknownRole(id), keep);
                case TOO_BIG -> malformed(id, 413, "the request is too big", keep);
                default -> malformed(id, 400, "the parameters cannot be parsed", keep);
            }
        }

        @Override
        public void aborted(RequestId id) {
            whole(id);
            Responder responder = owed.remove(id);
            if (responder != null) {
                counters.add(Count.QUERIES_ABORTED);
                gone(responder, "the caller aborted the request");
            }
            write(id, Records.ended(id), true);
        }

        @Override
        public void reply(byte[] record) {
            if (!closing) {
                links.toCaller(slot, record);
            }
        }

        @Override
        public void bad(String reason) {
            warnings.warn("a connection is closed: " + reason);
            end(Count.CONNECTIONS_CLOSED_BAD);
        }
    }

    /** Sends the one answer to a request of a connection. */
    private final class Responder implements Answer {
        private final Connection caller;
        private final RequestId id;
        private final boolean keep;
        private InFlight taken;
        private boolean over;
        private TenantId counts; // the tenant whose cap is charged until the query ends, or null

        private Responder(Connection caller, RequestId id, boolean keep) {
            this.caller = caller;
            this.id = id;
            this.keep = keep;
        }

        @Override
        public void handled(byte[] result) {
            send(200, "", result);
        }

        @Override
        public void deferred(long backOff, boolean isFinal) {
            send(
                    503,
                    (backOff >= 10 ? "Back-Off-Ms: " + backOff / 10 + "\r\n" : "")
                            + (isFinal ? "Final-Refusal: 1\r\n" : ""),
                    NONE);
        }

        @Override
        public void errored() {
            send(500, "", NONE);
        }

        @Override
        public void otherBody() {
            send(409, "", NONE);
        }

        /** Releases the tenant's cap, as the query is no longer open. */
        private void counted() {
            if (counts != null) {
                queries.fleet().over(caller.slot, counts);
                counts = null;
            }
        }

        private void send(int status, String headers, byte[] body) {
            if (!over) {
                over = true;
                counted();
                caller.write(id, Records.answer(id, status, headers, body), keep);
            }
        }
    }
}
