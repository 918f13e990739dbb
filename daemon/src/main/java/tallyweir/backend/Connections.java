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

/** The FastCGI front: connections in numbered slots, requests on them, health checks, idle closing. */
final class Connections {
    private static final String RUN_PATH = "/do/";
    private static final String CHECK_PATH = "/check";
    private static final String COUNTERS_PATH = "/counters";
    private static final double SIZE_MOST = 2_000; // KB, by the protocol
    private static final long HALF_MOST = 20_000; // a silent or half sent thing is told so within three seconds
    private static final int HALVES_MOST = 1_024;
    private static final long END_AGAIN = 100; // what lies unread or unwritten on one that is to end goes first
    private static final long NEWCOMER = 1_000; // a tenth of a second, in which its first request is on its way
    private static final long LINGER = 10_000; // a second: the other side sees the end sooner, or never
    private static final int LINGERS_APART = 8; // of the table, one in so many may linger
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
    private boolean back; // stands back
    private boolean leaving; // nothing more is taken in, as the stop is near
    private Deadlines.Deadline makeRoomAgain; // null if it is not set
    private final ArrayDeque<Connection> lingering =
            new ArrayDeque<>(); // ended by us and not yet by them, the oldest first

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

    /** A connection was accepted: its slot. Past the table's room others are to give way to it. */
    ConnectionId accepted() {
        if (slots.size() >= limits.usual()) {
            makeRoom();
        }
        counters.add(Count.CONNECTIONS_ACCEPTED);
        Connection c = new Connection();
        c.slot = new ConnectionId(slots.add(c));
        c.accepted = queries.now();
        c.idleSince = queries.now();
        c.rest(halfFor); // one that has sent nothing yet is about to
        if (leaving) {
            deadlines.set(queries.now() + NEWCOMER, c::leave);
        }
        return c.slot;
    }

    /**
     * Nobody more is let in: callers wait, with what they have written. Some are ended at once, so that those who heed it make
     * room by themselves; once as many linger as may, each further one costs the oldest of these, or a flood of clients
     * that heed nothing would keep all others out for as long as they may linger.
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

    /** An answer that was not written yet, or a request not read yet, kept a connection from giving way. */
    private void fullAgain() {
        makeRoomAgain = null;
        if (links.callersWait()) {
            full();
        }
    }

    /** The stop is near: nobody more is let in. Until the listener is closed, who sees an end would come right back to it. */
    void stopListening() {
        links.stopListening();
    }

    /**
     * Nobody can connect any more: each connection ends once nothing is owed on it. What would come later would lie unread when
     * the process is killed; who reads the end before has it sent elsewhere.
     */
    void leave() {
        if (!leaving) {
            leaving = true;
            slots.all().forEach(Connection::leave);
        }
    }

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

    void closed(ConnectionId slot) {
        Connection c = slots.get(slot.value());
        if (c != null) {
            counters.add(Count.CONNECTIONS_ENDED);
            slots.free(slot.value());
            c.closed();
        }
    }

    void health(boolean good) {
        this.good = good;
    }

    /** From now on new queries are turned away at once, or no longer. */
    void standBack(boolean back) {
        this.back = back;
    }

    void closeIdle(long span) {
        idleFor = span;
        for (Connection c : slots.all()) {
            if (c.idle != null && c.used && c.reader.betweenRecords()) {
                c.idleOver();
            }
        }
    }

    /**
     * How long a connection may be idle. A request that lies unread when its connection is closed is lost, and the
     * shortest spans of the decisions are less than a round takes on a busy core; so none is closed within the time
     * that a caller waits, nor before the longest span while there is room.
     */
    private long idleFor() {
        return slots.size() > limits.usual() / 2 ? Math.max(idleFor, longestHard) : idleMost;
    }

    int size() {
        return slots.size();
    }

    /** How many connections are in each state now. */
    Map<String, Long> states() {
        Map<String, Long> byState = new TreeMap<>();
        slots.all().forEach(c -> byState.merge(c.state(), 1L, Long::sum));
        return byState;
    }

    private int lingersMost() {
        return limits.usual() / LINGERS_APART;
    }

    /** Whether a query on this one would leave no connection that can give way, as an answer is owed on each. */
    private boolean isLastWithNothingOwed(Connection c) {
        return slots.size() >= limits.most()
                && c.owed.isEmpty()
                && slots.all().stream().allMatch(other -> other == c || !other.owed.isEmpty());
    }

    /**
     * Makes room for a new connection by closing one that owes and awaits no answer: of those that never sent a
     * whole request the one silent longest, else the one idle longest, else the one whose last request was begun
     * longest ago and is not whole yet. A newcomer keeps its place for as long as its first request may be on its way, and
     * while there are any nobody who has asked before gives way. A table full of halves once turned everybody back until their time was
     * over, and silent connections by hundreds would have closed the idle ones of callers in use.
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
                newcomers = true; // silent or not, it will be known in a moment
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

    /** One connection. */
    private final class Connection implements Reader.Sink {
        private final Reader reader = new Reader(this);
        private final Map<RequestId, Responder> owed = new HashMap<>();
        private final Map<RequestId, Deadlines.Deadline> half = new HashMap<>();
        private Deadlines.Deadline idle;
        private long accepted;
        private long idleSince;
        private boolean used; // something came
        private boolean asked; // a whole request came
        private boolean ending; // it is read no more, what is owed is answered, then it is closed
        private boolean closing; // we have ended our side
        private boolean passedOver; // something came after that
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

        private void rest(long span) {
            deadlines.cancel(idle);
            idle = deadlines.set(queries.now() + Math.max(0, span), this::idleOver);
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
            // Part of a record is on its way: the rest of it gets the time of a half request.
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
                rest(halfFor); // something is about to be read, or to go out
            }
        }

        /** False where something lies unread on it, or unwritten: a close now would lose that. */
        private boolean closeIdle() {
            boolean quiet = links.endQuiet(slot);
            if (quiet) {
                counters.add(Count.CONNECTIONS_CLOSED_IDLE);
                closes();
            }
            return quiet;
        }

        /** It is read no more; once what is owed is answered it is closed. */
        private void end(Count why) {
            if (!ending && !closing) {
                ending = true;
                reader.stop();
                counters.add(why);
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

        /** The other side does not end: what it sends is led nowhere, so nothing is lost by the close. */
        private void drop() {
            lingering.remove(this);
            deadlines.cancel(lingers);
            counters.add(Count.CONNECTIONS_DROPPED);
            links.dropCaller(slot);
        }

        /** Idle ones end at once, others when nothing is owed any more. */
        private void leave() {
            if (!closing && !ending && owed.isEmpty() && !links.endQuiet(slot)) {
                deadlines.set(queries.now() + END_AGAIN, this::leave);
            } else if (!closing && !ending && owed.isEmpty()) {
                counters.add(Count.CONNECTIONS_CLOSED_LEAVING);
                closes();
            }
        }

        /** What comes after the end of our side is led nowhere; its sender sees the end. */
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

        /** Nobody is there to take an answer any more. */
        private void closed() {
            closing = true;
            stir();
            lingering.remove(this);
            deadlines.cancel(lingers);
            half.values().forEach(deadlines::cancel);
            halves -= half.size();
            half.clear();
            List<Responder> nobodyThere = List.copyOf(owed.values());
            owed.clear();
            nobodyThere.forEach(way -> gone(way, "its connection has ended"));
            if (queries.fleet() != null) {
                queries.fleet().closed(slot);
            }
        }

        /** Whatever becomes of the query, nothing of it goes this way any more: the id may be another's by then. */
        private void gone(Responder way, String reason) {
            way.over = true;
            way.counted();
            if (way.taken != null) {
                endings.query(way.taken.job, reason, "a query ends without an answer");
                queries.gone(way.taken);
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
            Deadlines.Deadline d = half.remove(id);
            if (d != null) {
                deadlines.cancel(d);
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

        /** Only what is whole and known becomes a query; anything else gets one answer and nothing runs. */
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
            String mark;
            double size;
            double rank;
            long receivedAt;
            long patience;
            CallerId caller;
            try {
                job = new JobId(fields.text(fields.needed(Fields.ID)));
                tenant = !tenants.isEmpty() ? fields.text(fields.needed(Fields.TENANT)) : null;
                subject = fields.text(Fields.SUBJECT);
                mark = effect == Effect.STAMPED ? fields.text(fields.needed(Fields.STAMP)) : subject;
                size = fields.number(Fields.SIZE);
                rank = fields.number(Fields.RANK);
                receivedAt = fields.whole(Fields.RECEIVED) * 10;
                patience = tellsPatience ? fields.whole(Fields.PATIENCE) * 10 : -1;
                caller = new CallerId(fields.whole(Fields.CALLER));
                inRange(Fields.ID, job.value().matches("[0-9a-fA-F]{16}"));
                inRange(Fields.SIZE, size > 0 && size < SIZE_MOST);
                inRange(Fields.RANK, rank < 1);
                inRange(Fields.PATIENCE, patience <= longestHard);
                inRange(Fields.RECEIVED, !queries.farAhead(receivedAt));
                inRange(Fields.TENANT, tenant == null || tenants.contains(tenant));
            } catch (IllegalArgumentException e) {
                malformed(id, 400, e.getMessage(), keep);
                return;
            }
            Responder way = new Responder(this, id, keep);
            FleetMembership fleet = queries.fleet();
            if (back) {
                counters.add(Count.STOOD_BACK);
                way.deferred(fleet.backOff(), false);
                return;
            }
            if (fleet != null && tenant != null) {
                if (!fleet.enter(slot, new TenantId(tenant))) {
                    counters.add(Count.CAPPED);
                    way.deferred(fleet.backOff(), fleet.full(new TenantId(tenant)));
                    return;
                }
                way.counts = new TenantId(tenant);
            }
            boolean last = isLastWithNothingOwed(this);
            counters.add(Count.QUERIES_ON_LAST_CONNECTION, last ? 1 : 0);
            owed.put(id, way);
            way.taken = queries.read(
                    way,
                    job,
                    workload,
                    body,
                    receivedAt,
                    caller,
                    subject == null ? null : new SubjectId(subject),
                    mark == null ? null : new SubjectId(mark),
                    tenant == null ? null : new TenantId(tenant),
                    size,
                    rank,
                    patience,
                    "1".equals(fields.text(Fields.AGAIN)),
                    last);
        }

        private static void inRange(String field, boolean is) {
            if (!is) {
                throw new IllegalArgumentException(field + " is out of range");
            }
        }

        private void malformed(RequestId id, int status, String why, boolean keep) {
            counters.add(Count.QUERIES_MALFORMED);
            warnings.warn("a query was not taken, " + status + ": " + why);
            write(id, Records.answer(id, status, "", NONE), keep);
        }

        @Override
        public void refused(RequestId id, Reader.Refusal why, boolean keep) {
            whole(id);
            switch (why) {
                case OVERLOADED -> write(id, Records.overloaded(id), keep);
                case ROLE -> write(id, Records.unknownRole(id), keep);
                case TOO_BIG -> malformed(id, 413, "it is too big", keep);
                default -> malformed(id, 400, "its parameters cannot be read", keep);
            }
        }

        @Override
        public void aborted(RequestId id) {
            whole(id);
            Responder way = owed.remove(id);
            if (way != null) {
                counters.add(Count.QUERIES_ABORTED);
                gone(way, "its caller has given it up");
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
        public void bad(String why) {
            warnings.warn("a connection is closed: " + why);
            end(Count.CONNECTIONS_CLOSED_BAD);
        }
    }

    /** The way back to a request of a connection, for one answer. */
    private final class Responder implements Answer {
        private final Connection caller;
        private final RequestId id;
        private final boolean keep;
        private InFlight taken;
        private boolean over;
        private TenantId counts; // against whose cap its connection counts while it is open, null for nobody's

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
        public void deferred(long keepOff, boolean nowhereElse) {
            send(
                    503,
                    (keepOff >= 10 ? "Back-Off-Ms: " + keepOff / 10 + "\r\n" : "")
                            + (nowhereElse ? "Final-Refusal: 1\r\n" : ""),
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

        /** It is open no more. */
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
