package tallyweir.store;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import java.io.ByteArrayOutputStream;
import tallyweir.ids.JobId;

/** Encodes calls to the store. */
public final class Calls {
    private Calls() {}

    /** A call that the store has to answer within the timeout. */
    public static byte[] call(JobId job, long timeoutMs, byte[] body) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(body.length + 48);
        out.writeBytes(("CALL " + job.value() + " " + timeoutMs + " " + body.length + "\r\n").getBytes(ISO_8859_1));
        out.writeBytes(body);
        out.write('\r');
        out.write('\n');
        return out.toByteArray();
    }
}
