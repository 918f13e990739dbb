package tallyweir.announce;

import static java.nio.charset.StandardCharsets.UTF_8;

/** One report to the announce service: a datagram of three words. */
public final class Report {
    private Report() {}

    public static byte[] of(String name, boolean accepting) {
        return ("announce " + name + " " + accepting).getBytes(UTF_8);
    }
}
