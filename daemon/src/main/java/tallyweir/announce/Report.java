package tallyweir.announce;

import static java.nio.charset.StandardCharsets.UTF_8;

/** The report to the announce service: a datagram of three words separated by spaces. */
public final class Report {
    private Report() {}

    /**
     * Encodes a report.
     *
     * @param name this server's name
     * @param accepting whether callers are to be sent to this server
     */
    public static byte[] encode(String name, boolean accepting) {
        return ("announce " + name + " " + accepting).getBytes(UTF_8);
    }
}
