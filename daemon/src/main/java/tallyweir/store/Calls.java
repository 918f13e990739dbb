package tallyweir.store;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import java.io.ByteArrayOutputStream;
import tallyweir.ids.JobId;

/** Calls to the store as they are written. */
public final class Calls {
    private Calls() {}

    public static byte[] call(JobId job, long milliseconds, byte[] body) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(body.length + 48);
        out.writeBytes(("CALL " + job.value() + " " + milliseconds + " " + body.length + "\r\n").getBytes(ISO_8859_1));
        out.writeBytes(body);
        out.write('\r');
        out.write('\n');
        return out.toByteArray();
    }
}
