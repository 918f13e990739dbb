package tallyweir.tool.scale;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.Map;
import java.util.TreeMap;

/** Where the voters of a live run listen: {@code name=host:port}, with commas between them. */
final class VoterAddresses {
    private VoterAddresses() {}

    /** Addresses on loopback that are free now. */
    static Map<String, String> free(int voters) throws IOException {
        Map<String, String> all = new TreeMap<>();
        for (int voter = 0; voter < voters; voter++) {
            try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
                all.put("v" + voter, "127.0.0.1:" + socket.getLocalPort());
            }
        }
        return all;
    }

    static String write(Map<String, String> voters) {
        return String.join(
                ",",
                voters.entrySet().stream()
                        .map(voter -> voter.getKey() + "=" + voter.getValue())
                        .toList());
    }

    static Map<String, String> read(String text) {
        Map<String, String> all = new TreeMap<>();
        for (String voter : text.split(",")) {
            int equals = voter.indexOf('=');
            all.put(voter.substring(0, equals), voter.substring(equals + 1));
        }
        return all;
    }
}
