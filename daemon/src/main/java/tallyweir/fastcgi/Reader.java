package tallyweir.fastcgi;

import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.Map;
import tallyweir.ids.RequestId;

/**
 * An incremental parser of the FastCGI records of one connection, which assembles them to requests. The input may be split
 * at any byte. Every length is limited; a request that exceeds a limit is reported once and the rest of it is skipped.
 */
public final class Reader {
    /** The maximum size of the parameters of a request. */
    public static final int PARAMS_MOST = 8 << 10;
    /** The maximum size of the body of a request. */
    public static final int BODY_MOST = 2 << 10;
    /** The maximum number of open requests on a connection. */
    public static final int OPEN_MOST = 32;

    private static final int MANAGEMENT_MOST = 1 << 10;
    /** The maximum number of consecutive bytes that are skipped, so that an endless body does not keep its connection open. */
    static final int PASSED_MOST = 64 << 20;

    /** Receives the events of the parser. It may call {@link Reader#done} from within. */
    public interface Sink {
        /**
         * A request begins.
         *
         * @return false if the server is full; the request is refused as overloaded then
         */
        boolean begun(RequestId id);

        /** A complete request. */
        void request(RequestId id, Fields fields, byte[] body, boolean keepConnection);

        /** A request that will not be run but still has to be answered. */
        void refused(RequestId id, Refusal reason, boolean keepConnection);

        /** The web server aborts an open request. */
        void aborted(RequestId id);

        /** The reply to a management record, ready to be written. */
        void reply(byte[] record);

        /** The stream is invalid from here on; no further event follows. */
        void bad(String reason);
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
        boolean keep;
        boolean told; // passed to the sink, as a request or as a refusal; its answer is pending
        boolean paramsEnded;
        final Bytes params = new Bytes(PARAMS_MOST);
        final Bytes body = new Bytes(BODY_MOST);
        Fields fields;
    }

    private final Sink sink;
    private final Map<RequestId, Request> open = new HashMap<>();
    private final byte[] header = new byte[Records.HEADER];
    private int headerRead;
    private int contentLeft;
    private int paddingLeft;
    private final Bytes whole =
            new Bytes(MANAGEMENT_MOST); // the content of a record that is handled only when complete
    private long passed; // consecutive bytes that belong to no request or to one already passed on
    private boolean over;

    public Reader(Sink sink) {
        this.sink = sink;
    }

    /** The number of requests that have begun and are not answered yet. */
    public int open() {
        return open.size();
    }

    /** Whether no record is read in part. */
    public boolean betweenRecords() {
        return headerRead == 0;
    }

    /** Releases the id of an answered request for another one. */
    public void done(RequestId id) {
        open.remove(id);
    }

    /** Ignores all further input. */
    public void stop() {
        over = true;
    }

    /** Parses all remaining bytes, unless the stream is invalid or the parser was stopped. */
    public void read(ByteBuffer in) {
        while (!over && in.hasRemaining()) {
            if (headerRead < Records.HEADER) {
                int count = Math.min(Records.HEADER - headerRead, in.remaining());
                in.get(header, headerRead, count);
                headerRead += count;
                if (headerRead == Records.HEADER) {
                    headerEnded();
                }
            } else if (contentLeft > 0) {
                int count = Math.min(contentLeft, in.remaining());
                content(in, count);
                contentLeft -= count;
            } else {
                int count = Math.min(paddingLeft, in.remaining());
                in.position(in.position() + count);
                paddingLeft -= count;
            }
            if (!over && headerRead == Records.HEADER && contentLeft == 0 && paddingLeft == 0) {
                headerRead = 0;
                recordEnded();
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

    private void headerEnded() {
        contentLeft = length();
        paddingLeft = header[6] & 0xff;
        whole.clear();
        if (header[0] != Records.VERSION) {
            bad("a record of version " + header[0]);
        } else if (type() == Records.BEGIN && length() != 8) {
            bad("a begin record of " + length() + " bytes");
        } else if (id().value() == 0 && length() > MANAGEMENT_MOST) {
            bad("a management record of " + length() + " bytes");
        } else if (id().value() == 0 && type() >= Records.BEGIN && type() <= Records.DATA) {
            bad("a record of type " + type() + " without a request");
        }
    }

    private void content(ByteBuffer in, int count) {
        Request request = open.get(id());
        if (id().value() == 0 || type() == Records.BEGIN) {
            whole.add(in, count);
        } else if (request != null && !request.told && type() == Records.PARAMS) {
            if (!request.params.add(in, count)) {
                refuse(request, Refusal.TOO_BIG);
            }
        } else if (request != null && !request.told && type() == Records.STDIN) {
            if (!request.body.add(in, count)) {
                refuse(request, Refusal.TOO_BIG);
            }
        } else {
            in.position(in.position() + count);
            passed += count;
        }
    }

    private void recordEnded() {
        if (id().value() == 0) {
            managementEnded();
            return;
        }
        passed += Records.HEADER;
        if (passed > PASSED_MOST) {
            bad("over " + PASSED_MOST + " bytes that belong to no request"); // for example a body without end
            return;
        }
        Request request = open.get(id());
        switch (type()) {
            case Records.BEGIN -> begin();
            case Records.ABORT -> {
                if (request != null) {
                    sink.aborted(id());
                }
            }
            case Records.PARAMS -> {
                if (request != null && !request.told && length() == 0) {
                    paramsEnded(request);
                }
            }
            case Records.STDIN -> {
                if (request != null && !request.told && length() == 0) {
                    bodyEnded(request);
                }
            }
            default -> {}
        }
    }

    private void managementEnded() {
        try {
            sink.reply(
                    type() == Records.GET_VALUES
                            ? Records.values(Fields.pairs(whole.copy()).keySet())
                            : Records.unknownType(type()));
        } catch (IllegalArgumentException e) {
            bad("a management record: " + e.getMessage());
        }
    }

    private void begin() {
        byte[] content = whole.copy();
        if (open.containsKey(id())) {
            bad("request " + id().value() + " begins while it is open");
            return;
        }
        boolean tooManyOpen = open.size() >= OPEN_MOST;
        Request request = new Request();
        request.keep = (content[2] & 1) != 0;
        open.put(id(), request);
        if (!sink.begun(id()) || tooManyOpen) {
            refuse(request, Refusal.OVERLOADED);
        } else if (((content[0] & 0xff) << 8 | content[1] & 0xff) != Records.RESPONDER) {
            refuse(request, Refusal.ROLE);
        }
    }

    private void paramsEnded(Request request) {
        request.paramsEnded = true;
        try {
            request.fields = new Fields(request.params.copy());
            request.params.clear();
        } catch (IllegalArgumentException e) {
            refuse(request, Refusal.PARAMS);
        }
    }

    private void bodyEnded(Request request) {
        if (!request.paramsEnded) {
            refuse(request, Refusal.PARAMS);
            return;
        }
        request.told = true;
        passed = 0;
        byte[] body = request.body.copy();
        request.body.clear();
        sink.request(id(), request.fields, body, request.keep);
    }

    private void refuse(Request request, Refusal reason) {
        request.told = true;
        request.params.clear();
        request.body.clear();
        sink.refused(id(), reason, request.keep);
    }

    private void bad(String reason) {
        over = true;
        sink.bad(reason);
    }
}
