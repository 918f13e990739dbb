package tallyweir.fastcgi;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import java.io.ByteArrayOutputStream;
import java.util.Set;
import tallyweir.ids.RequestId;

/** Encodes FastCGI records; the numbers are those of the FastCGI specification 1.0. */
public final class Records {
    static final int HEADER_BYTES = 8;
    static final int VERSION = 1;
    static final int BEGIN = 1;
    static final int ABORT = 2;
    static final int END = 3;
    static final int PARAMS = 4;
    static final int STDIN = 5;
    static final int STDOUT = 6;
    static final int DATA = 8;
    static final int GET_VALUES = 9;
    static final int GET_VALUES_RESULT = 10;
    static final int UNKNOWN_TYPE = 11;
    static final int RESPONDER = 1;
    private static final RequestId MANAGEMENT = new RequestId(0);
    private static final int COMPLETE = 0;
    private static final int OVERLOADED = 2;
    private static final int UNKNOWN_ROLE = 3;
    private static final int MAX_CONTENT_BYTES = 0xffff;

    private Records() {}

    /**
     * A complete answer.
     *
     * @param headers further header lines, each with its line end
     */
    public static byte[] answer(RequestId id, int status, String headers, byte[] body) {
        byte[] head = ("Status: " + status + "\r\n" + headers + "\r\n").getBytes(ISO_8859_1);
        ByteArrayOutputStream out = new ByteArrayOutputStream(head.length + body.length + 40);
        byte[] content = new byte[head.length + body.length];
        System.arraycopy(head, 0, content, 0, head.length);
        System.arraycopy(body, 0, content, head.length, body.length);
        for (int offset = 0; offset < content.length; offset += MAX_CONTENT_BYTES) {
            int length = Math.min(MAX_CONTENT_BYTES, content.length - offset);
            header(out, STDOUT, id, length);
            out.write(content, offset, length);
        }
        header(out, STDOUT, id, 0);
        end(out, id, COMPLETE);
        return out.toByteArray();
    }

    /**
     * A complete request as a sidecar writes it.
     *
     * @param fields alternating names and values, each shorter than 128 bytes
     */
    public static byte[] query(int id, byte[] body, String... fields) {
        ByteArrayOutputStream params = new ByteArrayOutputStream();
        for (int i = 0; i < fields.length; i += 2) {
            params.write(fields[i].length());
            params.write(fields[i + 1].length());
            params.writeBytes((fields[i] + fields[i + 1]).getBytes(ISO_8859_1));
        }
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        RequestId requestId = new RequestId(id);
        header(out, BEGIN, requestId, 8);
        out.writeBytes(new byte[] {0, RESPONDER, 1, 0, 0, 0, 0, 0});
        for (byte[] content : new byte[][] {params.toByteArray(), {}}) {
            header(out, PARAMS, requestId, content.length);
            out.writeBytes(content);
        }
        for (byte[] content : new byte[][] {body, {}}) {
            header(out, STDIN, requestId, content.length);
            out.writeBytes(content);
        }
        return out.toByteArray();
    }

    /** The end of a request without an answer, as after an abort. */
    public static byte[] endWithoutAnswer(RequestId id) {
        return end(id, COMPLETE);
    }

    /** The end of a request that is refused because the server is overloaded. */
    public static byte[] overloaded(RequestId id) {
        return end(id, OVERLOADED);
    }

    /** The end of a request that is refused because its role is not supported. */
    public static byte[] unknownRole(RequestId id) {
        return end(id, UNKNOWN_ROLE);
    }

    private static byte[] end(RequestId id, int status) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(16);
        end(out, id, status);
        return out.toByteArray();
    }

    private static void end(ByteArrayOutputStream out, RequestId id, int status) {
        header(out, END, id, 8);
        out.writeBytes(new byte[] {0, 0, 0, 0, (byte) status, 0, 0, 0});
    }

    /** The reply to GET_VALUES with the only value that is fixed: a connection multiplexes requests. */
    static byte[] getValuesResult(Set<String> requested) {
        String name = "FCGI_MPXS_CONNS";
        ByteArrayOutputStream pairs = new ByteArrayOutputStream();
        if (requested.contains(name)) {
            pairs.write(name.length());
            pairs.write(1);
            pairs.writeBytes((name + "1").getBytes(ISO_8859_1));
        }
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        header(out, GET_VALUES_RESULT, MANAGEMENT, pairs.size());
        out.writeBytes(pairs.toByteArray());
        return out.toByteArray();
    }

    static byte[] unknownType(int type) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        header(out, UNKNOWN_TYPE, MANAGEMENT, 8);
        out.writeBytes(new byte[] {(byte) type, 0, 0, 0, 0, 0, 0, 0});
        return out.toByteArray();
    }

    private static void header(ByteArrayOutputStream out, int type, RequestId id, int length) {
        out.writeBytes(new byte[] {
            VERSION, (byte) type, (byte) (id.value() >> 8), (byte) id.value(), (byte) (length >> 8), (byte) length, 0, 0
        });
    }
}
