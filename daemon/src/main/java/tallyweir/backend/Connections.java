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
import tallyweir.fastcgi.FastCgiReader;
import tallyweir.fastcgi.Records;
import tallyweir.fastcgi.RequestFields;
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
    private static final double MAX_SIZE_KB = 2_000; // limit of the protocol
    private static final long MAX_HALF_READ_TENTHS_MS =
            20_000; // a silent connection or incomplete request is ended within three seconds
    private static final int MAX_FURTHER_HALF_READ_REQUESTS =
            512; // of all connections, beyond the first on each; all of them can be as large as a request may be
    private static final long CLOSE_RETRY_INTERVAL_TENTHS_MS =
            100; // pending input and output are handled before the close
    private static final long BUSY_CLOSE_RETRY_INTERVAL_TENTHS_MS =
            10; // near the stop: a busy connection is quiet only for a moment between two requests
    private static final long FIRST_REQUEST_WINDOW_TENTHS_MS =
            1_000; // 0.1 s, in which the first request may be on its way
    private static final long MAX_DRAIN_TENTHS_MS = 10_000; // 1 s: a peer that heeds the half-close does so sooner
    private static final long MAX_HOLD_TENTHS_MS =
            500; // for a caller that goes on writing; within the lateness that the protocol allows
    private static final int DRAINING_DIVISOR = 8; // one in so many connections may be draining
    private static final byte[] EMPTY_BODY = {};

    private final Links links;
    private final Deadlines deadlines;
    private final Counters counters;
    private final Queries queries;
    private final RateLimitedLog warnings;
    private final RateLimitedLog unansweredLog;
    private final Slots<Connection> slots = new Slots<>();
    private final ConnectionLimits limits;
    private final long halfReadTimeout;
    private final long maxIdleTimeout;
    private final long maxHardLimit;
    private final Set<String> tenants;
    private final boolean callersPassTimeout;
    private final long maxRetryAfter;
    private long requestedIdleTimeout;
    private int halfReadCount;
    private boolean healthy = true;
    private boolean withdrawn; // the server is withdrawn: new queries are deferred
    private boolean shuttingDown; // the server shuts down soon: idle connections are closed
    private boolean refusingIncomplete; // the process is about to end: a request that is read in part is refused
    private Deadlines.Deadline makeRoomRetry; // null while no retry is scheduled
    private final ArrayDeque<Connection> drainingConnections =
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
        unansweredLog = new RateLimitedLog(Connections.class, queries::now);
        maxHardLimit = settings.maxHardLimit();
        halfReadTimeout = Math.min(MAX_HALF_READ_TENTHS_MS, Math.max(MAX_HALF_READ_TENTHS_MS / 2, maxHardLimit));
        maxIdleTimeout = Math.max(10_000, settings.maxIdleDuration());
        requestedIdleTimeout = maxIdleTimeout;
        tenants = settings.tenants();
        callersPassTimeout = settings.passesTimeout();
        maxRetryAfter = settings.maxRetryAfter();
    }

    /** Registers an accepted connection and returns its slot. Above the soft limit, another one is closed to make room. */
    ConnectionId onAccepted() {
        if (slots.size() >= limits.softLimit()) {
            makeRoom();
        }
        counters.add(Count.CONNECTIONS_ACCEPTED);
        Connection c = new Connection();
        c.slot = new ConnectionId(slots.add(c));
        c.acceptedAt = queries.now();
        c.idleStartedAt = queries.now();
        c.setIdleDeadline(halfReadTimeout); // the first request is expected within this timeout
        if (shuttingDown) {
            c.scheduleCloseForShutdown(FIRST_REQUEST_WINDOW_TENTHS_MS);
        }
        return c.slot;
    }

    /**
     * Makes room when no further connection can be accepted and callers wait in the listener's queue with what they have
     * written. Several idle connections are half-closed at once, and peers that heed it make room by closing their side. Once
     * the maximum number of connections is draining, each further one drops the oldest of them: otherwise a flood of clients
     * that ignore the half-close would keep all others out for the whole drain timeout.
     */
    void onTableFull() {
        boolean room = makeRoom();
        while (room && drainingConnections.size() <= maxDraining()) {
            room = makeRoom();
        }
        if (drainingConnections.size() > maxDraining()) {
            drainingConnections.peek().drop();
        } else if (drainingConnections.isEmpty()
                && slots.all().stream().noneMatch(Connection::isOpenWithoutPendingAnswer)) {
            counters.add(Count.CONNECTIONS_WAITED);
        } else if (drainingConnections.isEmpty() && makeRoomRetry == null) {
            makeRoomRetry = deadlines.set(queries.now() + CLOSE_RETRY_INTERVAL_TENTHS_MS, this::retryMakeRoom);
        }
    }

    /** Retries after unwritten answers or unread requests prevented all connections from being closed. */
    private void retryMakeRoom() {
        makeRoomRetry = null;
        if (links.areCallersWaiting()) {
            onTableFull();
        }
    }

    /**
     * Closes the listener before the shutdown. This comes before {@link #closeAllForShutdown}, since a caller whose connection is closed
     * while the listener is open would reconnect at once.
     */
    void stopListening() {
        links.stopListening();
    }

    /**
     * Closes each connection as soon as no request is open on it, also none that is only read in part; called once the
     * listener is closed. A request that arrives later would be left unread when the process is killed, while a caller
     * that sees the close before sends it elsewhere.
     */
    void closeAllForShutdown() {
        if (!shuttingDown) {
            shuttingDown = true;
            slots.all().forEach(Connection::closeForShutdown);
        }
    }

    /**
     * Refuses the requests that are read in part, now and from now on: their last byte may come too late to be read before
     * the process is killed.
     */
    void refuseIncompleteForShutdown() {
        refusingIncomplete = true;
        slots.all().forEach(Connection::handleHeldRequests);
        slots.all().forEach(Connection::refuseIncompleteRequests);
        closeAllForShutdown();
    }

    /**
     * Handles bytes of a caller; those after our half-close are discarded.
     *
     * @param moreExpected whether further bytes of the caller are likely to be unread
     */
    void read(ConnectionId slot, ByteBuffer bytes, boolean moreExpected) {
        Connection c = slots.get(slot.value());
        if (c == null) {
            return;
        }
        if (c.draining || c.closingWhenAnswered) {
            c.discard(bytes);
        } else {
            c.read(bytes, moreExpected && !refusingIncomplete);
        }
    }

    /** A connection is closed on both sides or broken; its slot is free again. */
    void onClosed(ConnectionId slot) {
        Connection c = slots.get(slot.value());
        if (c != null) {
            counters.add(Count.CONNECTIONS_ENDED);
            slots.free(slot.value());
            c.onClosed();
        }
    }

    /** Sets the result of health checks, as the decisions ask for it. */
    void setHealthy(boolean healthy) {
        this.healthy = healthy;
    }

    /** Sets whether the server is withdrawn: while it is, new queries are deferred at once and the health check fails. */
    void setWithdrawn(boolean withdrawn) {
        this.withdrawn = withdrawn;
    }

    /** Sets the idle timeout that the decisions ask for, and applies it to connections that are idle already. */
    void setIdleTimeout(long timeout) {
        requestedIdleTimeout = timeout;
        for (Connection c : slots.all()) {
            if (c.idleDeadline != null && c.receivedBytes && c.reader.betweenRecords()) {
                c.onIdleDeadline();
            }
        }
    }

    /**
     * How long a connection may be idle. A request that is unread when its connection is closed is lost, and the shortest
     * timeouts that the decisions ask for are less than the duration of a round on a busy core. So no connection is closed
     * within the longest time that a caller waits, nor before the maximum idle timeout while the table is at most half full.
     */
    private long idleTimeout() {
        return slots.size() > limits.softLimit() / 2 ? Math.max(requestedIdleTimeout, maxHardLimit) : maxIdleTimeout;
    }

    int size() {
        return slots.size();
    }

    /** The number of connections in each state, by the name of the state. */
    Map<String, Long> countsByState() {
        Map<String, Long> byState = new TreeMap<>();
        slots.all().forEach(c -> byState.merge(c.state(), 1L, Long::sum));
        return byState;
    }

    /** The header line that tells a caller to wait before it retries; empty for less than a millisecond. */
    private static String retryAfterHeader(long tenthsMs) {
        return tenthsMs >= 10 ? "Back-Off-Ms: " + tenthsMs / 10 + "\r\n" : "";
    }

    private int maxDraining() {
        return limits.softLimit() / DRAINING_DIVISOR;
    }

    /** Whether a query on this connection would leave none that can be closed to make room, as each has a pending answer. */
    private boolean isLastWithoutPendingAnswer(Connection c) {
        return slots.size() >= limits.max()
                && c.pendingAnswers.isEmpty()
                && slots.all().stream().allMatch(other -> other == c || other.owesAnswer());
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
        if (drainingConnections.size() > maxDraining()) {
            drainingConnections.peek().drop();
            return true;
        }
        List<Connection> candidates = slots.all().stream()
                .filter(Connection::isOpenWithoutPendingAnswer)
                .sorted((a, b) -> a.closesBefore(b) ? -1 : b.closesBefore(a) ? 1 : 0)
                .toList();
        boolean newConnections = false;
        for (Connection c : candidates) {
            if (c.isNew()) {
                newConnections = true; // whether it stays silent is known when its window ends
            } else if (newConnections && c.receivedRequest) {
                break;
            } else if (c.tryCloseIdle()) {
                return true;
            }
        }
        boolean dropped = links.closeStuckCaller();
        counters.add(Count.CONNECTIONS_CLOSED_STUCK, dropped ? 1 : 0);
        return dropped;
    }

    /** A complete request for a query that is not decided yet. */
    private record HeldRequest(RequestId id, RequestFields fields, String path, byte[] body, boolean keep) {}

    private final class Connection implements FastCgiReader.Sink {
        private final FastCgiReader reader = new FastCgiReader(this);
        private final Map<RequestId, Responder> pendingAnswers = new HashMap<>();
        private final Map<RequestId, Deadlines.Deadline> halfReadDeadlines = new HashMap<>();
        private final ArrayDeque<HeldRequest> heldRequests = new ArrayDeque<>(0);
        private boolean holdingRequests; // further bytes of the caller are likely to be unread
        private Deadlines.Deadline holdDeadline; // null while no request is held
        private Deadlines.Deadline idleDeadline;
        private long acceptedAt;
        private long idleStartedAt;
        private boolean receivedBytes; // any bytes
        private boolean receivedRequest; // a complete request
        private boolean closingWhenAnswered; // no longer read; closed once the pending answers are written
        private boolean draining; // our side is half-closed
        private boolean discardedBytes; // bytes arrived after the half-close
        private Deadlines.Deadline drainDeadline;
        private Deadlines.Deadline shutdownCloseRetry; // null while none is scheduled
        private ConnectionId slot;

        private String state() {
            if (draining) {
                return "lingering";
            } else if (closingWhenAnswered) {
                return "ending";
            } else if (owesAnswer()) {
                return "owed";
            } else if (reader.openCount() > 0 || !reader.betweenRecords()) {
                return "half_read";
            }
            return receivedBytes ? "resting" : "unused";
        }

        private boolean isOpenWithoutPendingAnswer() {
            return !draining && !closingWhenAnswered && !owesAnswer();
        }

        private boolean owesAnswer() {
            return !pendingAnswers.isEmpty() || !heldRequests.isEmpty();
        }

        /** Whether a request has begun, or may be about to, that is not read to its end. */
        private boolean hasIncompleteRequest() {
            return !halfReadDeadlines.isEmpty() || reader.mayBeginRequest();
        }

        private boolean isNew() {
            return !receivedRequest && queries.now() - acceptedAt < FIRST_REQUEST_WINDOW_TENTHS_MS;
        }

        private boolean closesBefore(Connection other) {
            return receivedRequest != other.receivedRequest
                    ? !receivedRequest
                    : (idleDeadline != null) != (other.idleDeadline != null)
                            ? idleDeadline != null
                            : idleStartedAt < other.idleStartedAt;
        }

        private void setIdleDeadline(long timeout) {
            deadlines.cancel(idleDeadline);
            idleDeadline = deadlines.set(queries.now() + Math.max(0, timeout), this::onIdleDeadline);
        }

        private void cancelIdleDeadline() {
            deadlines.cancel(idleDeadline);
            idleDeadline = null;
        }

        private void startIdlingIfNoRequestOpen() {
            if (draining || reader.openCount() > 0) {
                return;
            }
            idleStartedAt = queries.now();
            // An incomplete record gets the timeout of an incomplete request.
            setIdleDeadline(reader.betweenRecords() ? idleTimeout() : halfReadTimeout);
            if (links.areCallersWaiting()) {
                onTableFull();
            }
        }

        private void onIdleDeadline() {
            long remaining =
                    receivedBytes && reader.betweenRecords() ? idleStartedAt + idleTimeout() - queries.now() : 0;
            if (remaining > 0) {
                setIdleDeadline(remaining);
            } else if (!tryCloseIdle()) {
                setIdleDeadline(halfReadTimeout); // bytes are waiting to be read or written
            }
        }

        /**
         * Returns false without closing where bytes are unread or unwritten, which a close now would lose. A request that
         * is read in part is refused first, as the rest of it is not read any more.
         */
        private boolean tryCloseIdle() {
            if (!halfReadDeadlines.isEmpty() && links.isQuiet(slot)) {
                closeWhenAnswered(Count.CONNECTIONS_CLOSED_IDLE);
                return true;
            }
            boolean closed = halfReadDeadlines.isEmpty() && links.halfCloseIfQuiet(slot);
            if (closed) {
                counters.add(Count.CONNECTIONS_CLOSED_IDLE);
                startDraining();
            }
            return closed;
        }

        /** Refuses the requests that are read in part; nothing of them has run. The rest of each is skipped. */
        private void refuseIncompleteRequests() {
            for (RequestId id : List.copyOf(halfReadDeadlines.keySet())) {
                cancelHalfReadDeadline(id);
                reader.release(id);
                counters.add(Count.QUERIES_HALF_REFUSED);
                links.sendToCaller(slot, Records.answer(id, 503, retryAfterHeader(maxRetryAfter), EMPTY_BODY));
            }
        }

        /** Stops reading, and closes the connection once all pending answers are written. */
        private void closeWhenAnswered(Count reason) {
            if (!closingWhenAnswered && !draining) {
                refuseIncompleteRequests();
                closingWhenAnswered = true;
                reader.stop();
                counters.add(reason);
                closeIfAnswered();
            }
        }

        private void closeIfAnswered() {
            if (closingWhenAnswered && !draining && !owesAnswer()) {
                startDraining();
                links.halfCloseCaller(slot);
            }
        }

        private void startDraining() {
            draining = true;
            cancelIdleDeadline();
            drainingConnections.add(this);
            drainDeadline = deadlines.set(queries.now() + MAX_DRAIN_TENTHS_MS, this::drop);
        }

        /** Closes without waiting for the peer. What it sends is discarded anyway, so the close loses nothing. */
        private void drop() {
            drainingConnections.remove(this);
            deadlines.cancel(drainDeadline);
            counters.add(Count.CONNECTIONS_DROPPED);
            links.closeCaller(slot);
        }

        /** Closes the connection once no request on it is open; one with a pending answer is closed after that answer. */
        private void closeForShutdown() {
            deadlines.cancel(shutdownCloseRetry);
            shutdownCloseRetry = null;
            if (draining || closingWhenAnswered || owesAnswer()) {
                return;
            }
            if (hasIncompleteRequest()) {
                scheduleCloseForShutdown(CLOSE_RETRY_INTERVAL_TENTHS_MS);
            } else if (links.halfCloseIfQuiet(slot)) {
                counters.add(Count.CONNECTIONS_CLOSED_LEAVING);
                startDraining();
            } else {
                scheduleCloseForShutdown(BUSY_CLOSE_RETRY_INTERVAL_TENTHS_MS);
            }
        }

        /** Keeps an attempt that is scheduled: on a connection with many requests it would be put off for ever. */
        private void scheduleCloseForShutdown(long delay) {
            if (shutdownCloseRetry == null) {
                shutdownCloseRetry = deadlines.set(queries.now() + delay, this::closeForShutdown);
            }
        }

        /** Discards bytes that arrive after the half-close; their sender sees the end of the stream. */
        private void discard(ByteBuffer bytes) {
            counters.add(Count.CONNECTIONS_WRITTEN_TO_AFTER_END, discardedBytes ? 0 : 1);
            counters.add(Count.BYTES_READ_AFTER_END, bytes.remaining());
            discardedBytes = true;
        }

        private void read(ByteBuffer bytes, boolean moreExpected) {
            receivedBytes = true;
            cancelIdleDeadline();
            holdingRequests = moreExpected;
            if (!moreExpected) {
                handleHeldRequests();
            }
            reader.read(bytes);
            if (refusingIncomplete) {
                refuseIncompleteRequests();
            }
            startIdlingIfNoRequestOpen();
        }

        /**
         * Holds a query while further bytes of its caller are unread: the last of them may be the end of the connection,
         * and what a caller has sent before it left is not to run.
         */
        private void hold(HeldRequest request) {
            heldRequests.add(request);
            if (holdDeadline == null) {
                holdDeadline = deadlines.set(queries.now() + MAX_HOLD_TENTHS_MS, this::handleHeldRequests);
            }
        }

        private void handleHeldRequests() {
            deadlines.cancel(holdDeadline);
            holdDeadline = null;
            for (HeldRequest held = heldRequests.poll(); held != null; held = heldRequests.poll()) {
                handleQuery(held.id, held.fields, held.path, held.body, held.keep);
            }
        }

        /** Cancels everything that waits for this connection: its answers can no longer be delivered. */
        private void onClosed() {
            draining = true;
            cancelIdleDeadline();
            drainingConnections.remove(this);
            deadlines.cancel(drainDeadline);
            deadlines.cancel(shutdownCloseRetry);
            deadlines.cancel(holdDeadline);
            counters.add(Count.QUERIES_GONE_UNDECIDED, heldRequests.size());
            heldRequests.clear();
            halfReadDeadlines.values().forEach(deadlines::cancel);
            halfReadCount -= halfReadDeadlines.size();
            halfReadDeadlines.clear();
            List<Responder> undeliverable = List.copyOf(pendingAnswers.values());
            pendingAnswers.clear();
            undeliverable.forEach(responder -> onCallerDisconnected(responder, "the connection was closed"));
            if (queries.fleet() != null) {
                queries.fleet().onConnectionClosed(slot);
            }
        }

        /** Invalidates a responder: the request id may belong to another request by the time the query is done. */
        private void onCallerDisconnected(Responder responder, String reason) {
            responder.finished = true;
            responder.releaseCap();
            if (responder.query != null) {
                unansweredLog.query(responder.query.job, reason, "a query ends without an answer");
                queries.disconnected(responder.query);
            }
        }

        private void write(RequestId id, byte[] records, boolean keep) {
            if (draining) {
                counters.add(Count.ANSWERS_UNDELIVERABLE);
                return;
            }
            pendingAnswers.remove(id);
            reader.release(id);
            links.sendToCaller(slot, records);
            if (!keep) {
                closeWhenAnswered(Count.CONNECTIONS_CLOSED_ASKED);
            } else if (closingWhenAnswered) {
                closeIfAnswered();
            } else if (shuttingDown && !owesAnswer()) {
                scheduleCloseForShutdown(0);
            } else {
                startIdlingIfNoRequestOpen();
            }
        }

        private void cancelHalfReadDeadline(RequestId id) {
            Deadlines.Deadline timeout = halfReadDeadlines.remove(id);
            if (timeout != null) {
                deadlines.cancel(timeout);
                halfReadCount--;
            }
        }

        @Override
        public boolean onBegin(RequestId id) {
            halfReadDeadlines.put(id, deadlines.set(queries.now() + halfReadTimeout, () -> onHalfReadTimeout(id)));
            halfReadCount++;
            idleStartedAt = queries.now();
            return halfReadDeadlines.size() == 1 || halfReadCount <= MAX_FURTHER_HALF_READ_REQUESTS;
        }

        private void onHalfReadTimeout(RequestId id) {
            cancelHalfReadDeadline(id);
            counters.add(Count.QUERIES_HALF);
            write(id, Records.answer(id, 408, "", EMPTY_BODY), true);
        }

        @Override
        public void onRequest(RequestId id, RequestFields fields, byte[] body, boolean keep) {
            cancelHalfReadDeadline(id);
            receivedRequest = true;
            String path = fields.string(RequestFields.PATH);
            if (CHECK_PATH.equals(path)) {
                counters.add(Count.CHECKS);
                write(
                        id,
                        Records.answer(id, healthy && !withdrawn && !queries.isDraining() ? 200 : 503, "", EMPTY_BODY),
                        keep);
            } else if (COUNTERS_PATH.equals(path)) {
                byte[] text = counters.text().getBytes(UTF_8);
                write(id, Records.answer(id, 200, "Content-Type: text/plain\r\n", text), keep);
            } else if (holdingRequests) {
                hold(new HeldRequest(id, fields, path == null ? "" : path, body, keep));
            } else {
                handleQuery(id, fields, path == null ? "" : path, body, keep);
            }
        }

        /** Turns a valid request for a known workload into a query; any other request is answered at once and nothing runs. */
        private void handleQuery(RequestId id, RequestFields fields, String path, byte[] body, boolean keep) {
            WorkloadId workload = new WorkloadId(path.startsWith(RUN_PATH) ? path.substring(RUN_PATH.length()) : "");
            if (!queries.isKnownWorkload(workload)) {
                rejectMalformed(id, 404, "no workload at '" + path + "'", keep);
                return;
            }
            if (!"POST".equals(fields.string(RequestFields.METHOD))) {
                rejectMalformed(id, 405, "the method is not POST", keep);
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
                job = new JobId(fields.string(fields.requirePresent(RequestFields.ID)));
                tenant = !tenants.isEmpty() ? fields.string(fields.requirePresent(RequestFields.TENANT)) : null;
                subject = fields.string(RequestFields.SUBJECT);
                key = effect == Effect.STAMPED
                        ? fields.string(fields.requirePresent(RequestFields.IDEMPOTENCY_KEY))
                        : subject;
                size = fields.number(RequestFields.SIZE_KB);
                rank = fields.number(RequestFields.RANK);
                receivedAt = fields.integer(RequestFields.RECEIVED_AT) * 10;
                timeout = callersPassTimeout ? fields.integer(RequestFields.TIMEOUT_MS) * 10 : -1;
                caller = new CallerId(fields.integer(RequestFields.CALLER));
                requireInRange(RequestFields.ID, job.value().matches("[0-9a-fA-F]{16}"));
                requireInRange(RequestFields.SIZE_KB, size > 0 && size < MAX_SIZE_KB);
                requireInRange(RequestFields.RANK, rank < 1);
                requireInRange(RequestFields.TIMEOUT_MS, timeout <= maxHardLimit);
                requireInRange(RequestFields.RECEIVED_AT, !queries.isFarAhead(receivedAt));
                requireInRange(RequestFields.TENANT, tenant == null || tenants.contains(tenant));
            } catch (IllegalArgumentException e) {
                rejectMalformed(id, 400, e.getMessage(), keep);
                return;
            }
            Responder responder = new Responder(this, id, keep);
            FleetMembership fleet = queries.fleet();
            if (withdrawn) {
                counters.add(Count.STOOD_BACK);
                responder.deferred(fleet.backOff(), false);
                return;
            }
            if (fleet != null && tenant != null) {
                if (!fleet.enter(slot, new TenantId(tenant))) {
                    counters.add(Count.CAPPED);
                    responder.deferred(fleet.backOff(), fleet.isFleetFull(new TenantId(tenant)));
                    return;
                }
                responder.chargedTenant = new TenantId(tenant);
            }
            boolean isLast = isLastWithoutPendingAnswer(this);
            counters.add(Count.QUERIES_ON_LAST_CONNECTION, isLast ? 1 : 0);
            pendingAnswers.put(id, responder);
            responder.query = queries.accept(
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
                    "1".equals(fields.string(RequestFields.RETRY)),
                    isLast);
        }

        private static void requireInRange(String field, boolean inRange) {
            if (!inRange) {
                throw new IllegalArgumentException(field + " is out of range");
            }
        }

        private void rejectMalformed(RequestId id, int status, String reason, boolean keep) {
            counters.add(Count.QUERIES_MALFORMED);
            warnings.warn("a query was not taken, " + status + ": " + reason);
            write(id, Records.answer(id, status, "", EMPTY_BODY), keep);
        }

        @Override
        public void onRefused(RequestId id, FastCgiReader.Refusal reason, boolean keep) {
            cancelHalfReadDeadline(id);
            switch (reason) {
                case OVERLOADED -> write(id, Records.overloaded(id), keep);
                case ROLE -> write(id, Records.unknownRole(id), keep);
                case TOO_BIG -> rejectMalformed(id, 413, "the request is too big", keep);
                default -> rejectMalformed(id, 400, "the parameters cannot be parsed", keep);
            }
        }

        @Override
        public void onAbort(RequestId id) {
            cancelHalfReadDeadline(id);
            Responder responder = pendingAnswers.remove(id);
            counters.add(Count.QUERIES_ABORTED, heldRequests.removeIf(held -> held.id.equals(id)) ? 1 : 0);
            if (responder != null) {
                counters.add(Count.QUERIES_ABORTED);
                onCallerDisconnected(responder, "the caller aborted the request");
            }
            write(id, Records.endWithoutAnswer(id), true);
        }

        @Override
        public void onManagementReply(byte[] record) {
            if (!draining) {
                links.sendToCaller(slot, record);
            }
        }

        @Override
        public void onInvalidStream(String reason) {
            warnings.warn("a connection is closed: " + reason);
            closeWhenAnswered(Count.CONNECTIONS_CLOSED_BAD);
        }
    }

    /** Sends the one answer to a request of a connection. */
    private final class Responder implements QueryResponder {
        private final Connection connection;
        private final RequestId id;
        private final boolean keep;
        private InFlight query;
        private boolean finished;
        private TenantId chargedTenant; // the tenant whose cap is charged until the query ends, or null

        private Responder(Connection connection, RequestId id, boolean keep) {
            this.connection = connection;
            this.id = id;
            this.keep = keep;
        }

        @Override
        public void handled(byte[] result) {
            send(200, "", result);
        }

        @Override
        public void deferred(long backOff, boolean isFinal) {
            send(503, retryAfterHeader(backOff) + (isFinal ? "Final-Refusal: 1\r\n" : ""), EMPTY_BODY);
        }

        @Override
        public void errored() {
            send(500, "", EMPTY_BODY);
        }

        @Override
        public void bodyMismatch() {
            send(409, "", EMPTY_BODY);
        }

        /** Releases the tenant's cap, as the query is no longer open. */
        private void releaseCap() {
            if (chargedTenant != null) {
                queries.fleet().onQueryEnded(connection.slot, chargedTenant);
                chargedTenant = null;
            }
        }

        private void send(int status, String headers, byte[] body) {
            if (!finished) {
                finished = true;
                releaseCap();
                connection.write(id, Records.answer(id, status, headers, body), keep);
            }
        }
    }
}
