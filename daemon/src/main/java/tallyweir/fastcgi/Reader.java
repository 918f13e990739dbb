package tallyweir.fastcgi;

import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.Map;
import tallyweir.ids.RequestId;

/**
 * Takes FastCGI records from the bytes of one connection, however they are split, and puts requests together.
 * Every length is limited; what is too long is told once and the rest of that request is passed over.
 */
public final class Reader {
    public static final int PARAMS_MOST = 8 << 10;
    public static final int BODY_MOST = 2 << 10;
    public static final int OPEN_MOST = 32;
    private static final int MANAGEMENT_MOST = 1 << 10;
    static final int PASSED_MOST = 64 << 20;

    /** What comes out. Calls of done from within are allowed. */
    public interface Sink {
        /** False if there is no room for it. */
        boolean begun(RequestId id);

        void request(RequestId id, Fields fields, byte[] body, boolean keepConnection);

        /** Nothing of the request will be run; its answer is owed. */
        void refused(RequestId id, Refusal why, boolean keepConnection);

        void aborted(RequestId id);

        /** A management record's reply. */
        void reply(byte[] record);

        /** The stream cannot be followed any more. */
        void bad(String why);
    }

    /** Why a request was refused before anybody looked at it. */
    public enum Refusal {
        PARAMS,
        TOO_BIG,
        ROLE,
        OVERLOADED
    }

    private static final class Request {
        boolean keep;
        boolean told; // handed over or refused; an answer is under way
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
    private final Bytes whole = new Bytes(MANAGEMENT_MOST); // a record that is taken only whole
    private long passed; // bytes in a row that belong to no request, or to one refused
    private boolean over;

    public Reader(Sink sink) {
        this.sink = sink;
    }

    /** Requests begun and not yet answered. */
    public int open() {
        return open.size();
    }

    public boolean betweenRecords() {
        return headerRead == 0;
    }

    /** The request is answered: its id is free for another. */
    public void done(RequestId id) {
        open.remove(id);
    }

    /** Whatever comes from now on is passed over. */
    public void stop() {
        over = true;
    }

    public void read(ByteBuffer in) {
        while (!over && in.hasRemaining()) {
            if (headerRead < Records.HEADER) {
                int take = Math.min(Records.HEADER - headerRead, in.remaining());
                in.get(header, headerRead, take);
                headerRead += take;
                if (headerRead == Records.HEADER) {
                    headerEnded();
                }
            } else if (contentLeft > 0) {
                int take = Math.min(contentLeft, in.remaining());
                content(in, take);
                contentLeft -= take;
            } else {
                int take = Math.min(paddingLeft, in.remaining());
                in.position(in.position() + take);
                paddingLeft -= take;
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

    private void content(ByteBuffer in, int take) {
        Request r = open.get(id());
        if (id().value() == 0 || type() == Records.BEGIN) {
            whole.add(in, take);
        } else if (r != null && !r.told && type() == Records.PARAMS) {
            if (!r.params.add(in, take)) {
                refuse(r, Refusal.TOO_BIG);
            }
        } else if (r != null && !r.told && type() == Records.STDIN) {
            if (!r.body.add(in, take)) {
                refuse(r, Refusal.TOO_BIG);
            }
        } else {
            in.position(in.position() + take);
            passed += take;
        }
    }

    private void recordEnded() {
        if (id().value() == 0) {
            managementEnded();
            return;
        }
        passed += Records.HEADER;
        if (passed > PASSED_MOST) {
            bad("over " + PASSED_MOST + " bytes that belong to no request"); // one that never ends
            return;
        }
        Request r = open.get(id());
        switch (type()) {
            case Records.BEGIN -> begin();
            case Records.ABORT -> {
                if (r != null) {
                    sink.aborted(id());
                }
            }
            case Records.PARAMS -> {
                if (r != null && !r.told && length() == 0) {
                    paramsEnded(r);
                }
            }
            case Records.STDIN -> {
                if (r != null && !r.told && length() == 0) {
                    bodyEnded(r);
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
        boolean full = open.size() >= OPEN_MOST;
        Request r = new Request();
        r.keep = (content[2] & 1) != 0;
        open.put(id(), r);
        if (!sink.begun(id()) || full) {
            refuse(r, Refusal.OVERLOADED);
        } else if (((content[0] & 0xff) << 8 | content[1] & 0xff) != Records.RESPONDER) {
            refuse(r, Refusal.ROLE);
        }
    }

    private void paramsEnded(Request r) {
        r.paramsEnded = true;
        try {
            r.fields = new Fields(r.params.copy());
            r.params.clear();
        } catch (IllegalArgumentException e) {
            refuse(r, Refusal.PARAMS);
        }
    }

    private void bodyEnded(Request r) {
        if (!r.paramsEnded) {
            refuse(r, Refusal.PARAMS);
            return;
        }
        r.told = true;
        passed = 0;
        byte[] body = r.body.copy();
        r.body.clear();
        sink.request(id(), r.fields, body, r.keep);
    }

    private void refuse(Request r, Refusal why) {
        r.told = true;
        r.params.clear();
        r.body.clear();
        sink.refused(id(), why, r.keep);
    }

    private void bad(String why) {
        over = true;
        sink.bad(why);
    }
}
