package tallyweir.fastcgi;

import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.Map;
import tallyweir.ids.RequestId;

/**
 * An incremental parser of the FastCGI records of one connection, which assembles them to requests. The input may be split
 * at any byte. Every length is limited; a request that exceeds a limit is reported once and the rest of it is skipped.
 */
public final class FastCgiReader {
    /** The maximum size of the parameters of a request. */
    public static final int MAX_PARAMS_BYTES = 8 << 10;
    /** The maximum size of the body of a request. */
    public static final int MAX_BODY_BYTES = 2 << 10;
    /** The maximum number of open requests on a connection. */
    public static final int MAX_OPEN_REQUESTS = 32;

    private static final int MAX_MANAGEMENT_BYTES = 1 << 10;
    /** The maximum number of consecutive bytes that are skipped, so that an endless body does not keep its connection open. */
    static final int MAX_SKIPPED_BYTES = 64 << 20;

    /** Receives the events of the parser. It may call {@link FastCgiReader#release} from within. */
    public interface Sink {
        /**
         * A request begins.
         *
         * @return false if the server is full; the request is refused as overloaded then
         */
        boolean onBegin(RequestId id);

        /** A complete request. */
        void onRequest(RequestId id, RequestFields fields, byte[] body, boolean keepConnection);

        /** A request that will not be run but still has to be answered. */
        void onRefused(RequestId id, Refusal reason, boolean keepConnection);

        /** The web server aborts an open request. */
        void onAbort(RequestId id);

        /** The reply to a management record, ready to be written. */
        void onManagementReply(byte[] record);

        /** The stream is invalid from here on; no further event follows. */
        void onInvalidStream(String reason);
    }

    /** Reasons to refuse a request before it reaches the decisions. */
    public enum Refusal {
        /** The parameters are missing, incomplete or cannot be parsed. */
        PARAMS,
        /** The parameters or the body exceed their maximum size. */
        TOO_BIG,
        /** The request asks for a FastCGI role other than responder. */
        ROLE,
        /** Too many requests are open, or the sink is full. */
        OVERLOADED
    }

    private static final class Request {
        boolean keepConnection;
        boolean passedOn; // passed to the sink, as a request or as a refusal; its answer is pending
        boolean paramsComplete;
        final BoundedBuffer params = new BoundedBuffer(MAX_PARAMS_BYTES);
        final BoundedBuffer body = new BoundedBuffer(MAX_BODY_BYTES);
        RequestFields fields;
    }

    private final Sink sink;
    private final Map<RequestId, Request> openRequests = new HashMap<>();
    private final byte[] header = new byte[Records.HEADER_BYTES];
    private int headerRead;
    private int contentLeft;
    private int paddingLeft;
    private final BoundedBuffer recordContent =
            new BoundedBuffer(MAX_MANAGEMENT_BYTES); // the content of a record that is handled only when complete
    private long skippedBytes; // consecutive bytes that belong to no request or to one already passed on
    private boolean stopped;

    public FastCgiReader(Sink sink) {
        this.sink = sink;
    }

    /** The number of requests that have begun and are not answered yet. */
    public int openCount() {
        return openRequests.size();
    }

    /** Whether no record is read in part. */
    public boolean betweenRecords() {
        return headerRead == 0;
    }

    /** Whether the record that is read in part begins a request, or may do so as its type is not known yet. */
    public boolean mayBeginRequest() {
        return headerRead > 0 && (headerRead < Records.HEADER_BYTES || type() == Records.BEGIN);
    }

    /** Releases the id of an answered request for another one. */
    public void release(RequestId id) {
        openRequests.remove(id);
    }

    /** Ignores all further input. */
    public void stop() {
        stopped = true;
    }

    /** Parses all remaining bytes, unless the stream is invalid or the parser was stopped. */
    public void read(ByteBuffer in) {
        while (!stopped && in.hasRemaining()) {
            if (headerRead < Records.HEADER_BYTES) {
                int count = Math.min(Records.HEADER_BYTES - headerRead, in.remaining());
                in.get(header, headerRead, count);
                headerRead += count;
                if (headerRead == Records.HEADER_BYTES) {
                    headerComplete();
                }
            } else if (contentLeft > 0) {
                int count = Math.min(contentLeft, in.remaining());
                readContent(in, count);
                contentLeft -= count;
            } else {
                int count = Math.min(paddingLeft, in.remaining());
                in.position(in.position() + count);
                paddingLeft -= count;
            }
            if (!stopped && headerRead == Records.HEADER_BYTES && contentLeft == 0 && paddingLeft == 0) {
                headerRead = 0;
                recordComplete();
            }
        }
    }

    private int type() {
        return header[1] & 0xff;
    }

    private RequestId id() {
        return new RequestId((header[2] & 0xff) << 8 | header[3] & 0xff);
    }

    private int length() {
        return (header[4] & 0xff) << 8 | header[5] & 0xff;
    }

    private void headerComplete() {
        contentLeft = length();
        paddingLeft = header[6] & 0xff;
        recordContent.clear();
        if (header[0] != Records.VERSION) {
            invalidStream("a record of version " + header[0]);
        } else if (type() == Records.BEGIN && length() != 8) {
            invalidStream("a begin record of " + length() + " bytes");
        } else if (id().value() == 0 && length() > MAX_MANAGEMENT_BYTES) {
            invalidStream("a management record of " + length() + " bytes");
        } else if (id().value() == 0 && type() >= Records.BEGIN && type() <= Records.DATA) {
            invalidStream("a record of type " + type() + " without a request");
        }
    }

    private void readContent(ByteBuffer in, int count) {
        Request request = openRequests.get(id());
        if (id().value() == 0 || type() == Records.BEGIN) {
            recordContent.append(in, count);
        } else if (request != null && !request.passedOn && type() == Records.PARAMS) {
            if (!request.params.append(in, count)) {
                refuse(request, Refusal.TOO_BIG);
            }
        } else if (request != null && !request.passedOn && type() == Records.STDIN) {
            if (!request.body.append(in, count)) {
                refuse(request, Refusal.TOO_BIG);
            }
        } else {
            in.position(in.position() + count);
            skippedBytes += count;
        }
    }

    private void recordComplete() {
        if (id().value() == 0) {
            managementRecordComplete();
            return;
        }
        skippedBytes += Records.HEADER_BYTES;
        if (skippedBytes > MAX_SKIPPED_BYTES) {
            invalidStream(
                    "over " + MAX_SKIPPED_BYTES + " bytes that belong to no request"); // for example a body without end
            return;
        }
        Request request = openRequests.get(id());
        switch (type()) {
            case Records.BEGIN -> begin();
            case Records.ABORT -> {
                if (request != null) {
                    sink.onAbort(id());
                }
            }
            case Records.PARAMS -> {
                if (request != null && !request.passedOn && length() == 0) {
                    paramsComplete(request);
                }
            }
            case Records.STDIN -> {
                if (request != null && !request.passedOn && length() == 0) {
                    bodyComplete(request);
                }
            }
            default -> {}
        }
    }

    private void managementRecordComplete() {
        try {
            sink.onManagementReply(
                    type() == Records.GET_VALUES
                            ? Records.getValuesResult(RequestFields.parseNames(recordContent.copy()))
                            : Records.unknownType(type()));
        } catch (IllegalArgumentException e) {
            invalidStream("a management record: " + e.getMessage());
        }
    }

    private void begin() {
        byte[] content = recordContent.copy();
        if (openRequests.containsKey(id())) {
            invalidStream("request " + id().value() + " begins while it is open");
            return;
        }
        boolean tooManyOpen = openRequests.size() >= MAX_OPEN_REQUESTS;
        Request request = new Request();
        request.keepConnection = (content[2] & 1) != 0;
        openRequests.put(id(), request);
        if (!sink.onBegin(id()) || tooManyOpen) {
            refuse(request, Refusal.OVERLOADED);
        } else if (((content[0] & 0xff) << 8 | content[1] & 0xff) != Records.RESPONDER) {
            refuse(request, Refusal.ROLE);
        }
    }

    private void paramsComplete(Request request) {
        request.paramsComplete = true;
        try {
            request.fields = new RequestFields(request.params.copy());
            request.params.clear();
        } catch (IllegalArgumentException e) {
            refuse(request, Refusal.PARAMS);
        }
    }

    private void bodyComplete(Request request) {
        if (!request.paramsComplete) {
            refuse(request, Refusal.PARAMS);
            return;
        }
        request.passedOn = true;
        skippedBytes = 0;
        byte[] body = request.body.copy();
        request.body.clear();
        sink.onRequest(id(), request.fields, body, request.keepConnection);
    }

    private void refuse(Request request, Refusal reason) {
        request.passedOn = true;
        request.params.clear();
        request.body.clear();
        sink.onRefused(id(), reason, request.keepConnection);
    }

    private void invalidStream(String reason) {
        stopped = true;
        sink.onInvalidStream(reason);
    }
}
