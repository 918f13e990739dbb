package tallyweir.stand;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** Encodes requests that are unsound, needlessly large, or small and sent in great numbers. Not thread-safe. */
public final class HostileRequests {
    /** What is wrong with the requests of one client. */
    public enum Kind {
        CHECKS,
        COUNTERS,
        SOUND,
        ONE_SHOT,
        NEW_CALLERS,
        EXPIRED_OF_NEW_CALLERS,
        NEW_KEYS,
        NEW_RESOURCES,
        NEW_TENANTS,
        NEW_WORKLOADS,
        NEW_FIELDS,
        EXPIRED,
        MALFORMED_FIELD,
        NO_FIELDS,
        TRUNCATED_FIELDS,
        SHORT_FIELDS,
        UNKNOWN_ROLE,
        ABORTED,
        ABORTED_QUERIES,
        ABORTED_REPEATS,
        REFUSED_BEFORE_ITS_END,
        MANAGEMENT,
        UNKNOWN_MANAGEMENT,
        NO_REQUEST,
        INVALID_VERSION,
        CLOSE_AFTER_ANSWER
    }

    private static final int MAX_REQUEST_ID = 60_000;
    private static final int BEGIN_REQUEST = 1;
    private static final int ABORT_REQUEST = 2;
    private static final int PARAMS = 4;
    private static final int STDIN = 5;
    private static final int GET_VALUES = 9;
    private static final int UNKNOWN_MANAGEMENT_TYPE = 77;
    private static final int MAX_HEAD_BYTES = 8 << 10; // limit of the server
    private static final int SHORT_FIELD_BYTES = 4; // two lengths, a name and a value of a byte each
    private static final int TIMEOUT_MS = 4_500;
    private static final int EXPIRED_FOR_MS = 60_000;
    private static final byte[] RESPONDER = {0, 1, 1, 0, 0, 0, 0, 0};
    private static final byte[] RESPONDER_WITHOUT_KEEP = {0, 1, 0, 0, 0, 0, 0, 0};
    private static final byte[] UNKNOWN_ROLE = {0, 9, 1, 0, 0, 0, 0, 0};
    private static final byte[] EMPTY = {};

    private final String idPrefix;
    private long number;

    /** @param seed distinguishes the ids of several clients */
    public HostileRequests(long seed) {
        idPrefix = String.format("%06x", seed & 0xff_ffff);
    }

    /** Whether an id is that of one of these requests. */
    public boolean isOwnId(String id) {
        return id.startsWith(idPrefix);
    }

    /** The next request of this kind. */
    public byte[] next(Kind kind) {
        number++;
        int id = (int) (number % MAX_REQUEST_ID) + 1;
        return switch (kind) {
            case CHECKS -> request(id, Map.of("SCRIPT_NAME", "/check"));
            case COUNTERS -> request(id, Map.of("SCRIPT_NAME", "/counters"));
            case SOUND -> request(id, query("look"));
            case ONE_SHOT -> request(id, query("charge"));
            case NEW_CALLERS -> request(id, with("HTTP_SENT_BY", Long.toString(number)));
            case EXPIRED_OF_NEW_CALLERS -> request(id, expired(with("HTTP_SENT_BY", Long.toString(number))));
            case NEW_KEYS -> request(id, keyed());
            case NEW_RESOURCES -> request(id, with("HTTP_RESOURCE_KEY", "resource " + number));
            case NEW_TENANTS -> request(id, with("HTTP_ACCOUNT", "tenant " + number));
            case NEW_WORKLOADS -> request(id, query("workload" + number));
            case NEW_FIELDS -> request(id, with("X_" + number, "value " + number));
            case EXPIRED -> request(id, expired(query("look")));
            case MALFORMED_FIELD -> request(id, with("HTTP_PRIORITY_RANK", "high"));
            case NO_FIELDS -> request(id, Map.of());
            case TRUNCATED_FIELDS -> records(id, RESPONDER, new byte[] {100, 100, 1});
            case SHORT_FIELDS -> records(id, RESPONDER, shortFields());
            case UNKNOWN_ROLE -> records(id, UNKNOWN_ROLE, EMPTY);
            case ABORTED -> thenAborted(id, record(BEGIN_REQUEST, id, RESPONDER));
            case ABORTED_QUERIES -> thenAborted(id, request(id, query("look")));
            case ABORTED_REPEATS -> thenAborted(id, request(id, repeat()));
            case REFUSED_BEFORE_ITS_END -> records(id, RESPONDER, new byte[MAX_HEAD_BYTES + 1]);
            case MANAGEMENT -> record(GET_VALUES, 0, "\u000f\u0000FCGI_MPXS_CONNS".getBytes(StandardCharsets.US_ASCII));
            case UNKNOWN_MANAGEMENT -> record(UNKNOWN_MANAGEMENT_TYPE, 0, EMPTY);
            case NO_REQUEST -> record(STDIN, id, EMPTY);
            case INVALID_VERSION -> new byte[] {9, 9, 9, 9, 9, 9, 9, 9};
            case CLOSE_AFTER_ANSWER -> records(id, RESPONDER_WITHOUT_KEEP, EMPTY);
        };
    }

    /** The first part of a request of the maximum size: its head without the record that ends it. */
    public static byte[] halfOfLargeRequest(int id) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        StandInSidecar.writeRecord(out, BEGIN_REQUEST, id, RESPONDER);
        StandInSidecar.writeRecord(out, PARAMS, id, new byte[MAX_HEAD_BYTES]);
        return out.toByteArray();
    }

    /** A request of the maximum size without its end: the whole head, and the body without its last byte. */
    public static byte[] wholeHead(int id) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        StandInSidecar.writeRecord(out, BEGIN_REQUEST, id, RESPONDER);
        StandInSidecar.writeRecord(out, PARAMS, id, shortFields());
        StandInSidecar.writeRecord(out, PARAMS, id, EMPTY);
        StandInSidecar.writeRecord(out, STDIN, id, new byte[2 << 10]);
        return out.toByteArray();
    }

    private Map<String, String> query(String workload) {
        Map<String, String> fields = new LinkedHashMap<>();
        fields.put("REQUEST_METHOD", "POST");
        fields.put("SCRIPT_NAME", "/do/" + workload);
        fields.put("HTTP_REQUEST_ID", idPrefix + String.format("%010x", number));
        fields.put("HTTP_RECEIVED_AT", Long.toString(System.currentTimeMillis()));
        fields.put("HTTP_SENT_BY", "7");
        fields.put("HTTP_BUDGET_MS", Integer.toString(TIMEOUT_MS));
        fields.put("HTTP_FOOTPRINT_KB", "4");
        fields.put("HTTP_PRIORITY_RANK", "0.5");
        return fields;
    }

    private Map<String, String> with(String name, String value) {
        Map<String, String> fields = query("look");
        fields.put(name, value);
        return fields;
    }

    private static Map<String, String> expired(Map<String, String> fields) {
        fields.put("HTTP_RECEIVED_AT", Long.toString(System.currentTimeMillis() - EXPIRED_FOR_MS));
        return fields;
    }

    private Map<String, String> keyed() {
        Map<String, String> fields = query("reset");
        fields.put("HTTP_ONCE_KEY", "key " + number);
        return fields;
    }

    private Map<String, String> repeat() {
        Map<String, String> fields = query("reset");
        fields.put("HTTP_ONCE_KEY", "repeated");
        return fields;
    }

    private static byte[] request(int id, Map<String, String> fields) {
        return StandInSidecar.encodeRequest(id, fields, "");
    }

    /** A request whose head holds as many fields as fit, each with a name and a value of one byte or two. */
    private static byte[] shortFields() {
        byte[] fields = new byte[MAX_HEAD_BYTES];
        for (int i = 0; i < fields.length; i += SHORT_FIELD_BYTES) {
            fields[i] = 2;
            fields[i + 1] = 0;
            fields[i + 2] = (byte) (i >> 8);
            fields[i + 3] = (byte) i;
        }
        return fields;
    }

    private static byte[] records(int id, byte[] begin, byte[] head) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        StandInSidecar.writeRecord(out, BEGIN_REQUEST, id, begin);
        if (head.length > 0) {
            StandInSidecar.writeRecord(out, PARAMS, id, head);
        }
        StandInSidecar.writeRecord(out, PARAMS, id, EMPTY);
        StandInSidecar.writeRecord(out, STDIN, id, EMPTY);
        return out.toByteArray();
    }

    private static byte[] thenAborted(int id, byte[] request) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(request);
        StandInSidecar.writeRecord(out, ABORT_REQUEST, id, EMPTY);
        return out.toByteArray();
    }

    private static byte[] record(int type, int id, byte[] content) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        StandInSidecar.writeRecord(out, type, id, content);
        return out.toByteArray();
    }
}
