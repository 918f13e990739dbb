package tallyweir.config;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import tallyweir.Choice;
import tallyweir.Outgoing;

/** What one real backend is told at its start, read, checked and given defaults here alone. */
public final class Config {
    public final String name;
    public final InetSocketAddress listen;
    public final InetSocketAddress kernel;
    public final InetSocketAddress store; // null where no workload calls
    public final InetSocketAddress announce;
    public final long seed;
    public final long stopAfter;
    public final int sockets;
    public final Settings settings;

    private Config(Tree all, Map<String, String> environment) {
        name = all.text("name", environment.getOrDefault("EDGE_NAME", ""));
        if (!name.matches("[!-~]{1,64}")) {
            throw new BadSetting("name is '" + name + "': 1 to 64 letters without spaces are needed");
        }
        listen = address("listen", all.text("listen", environment.getOrDefault("EDGE_LISTEN", "")));
        kernel = address("kernel", all.text("kernel"));
        announce = address("announce", all.text("announce"));
        seed = seed(all.text("seed"));
        stopAfter = all.whole("stop_ms", 0, Integer.MAX_VALUE) * 10L;
        sockets = all.in("limits").whole("sockets", 64, 1 << 20);
        settings = new Settings(all.in("settings"));
        // Where nothing calls below there is no store to be told of.
        store = settings.callsBelow() || all.has("store") ? address("store", all.text("store")) : null;
        check();
    }

    /** Decodes the settings whole once, for decisions that lead nowhere, so that a faulty key shows at the start. */
    private void check() {
        if (settings.workloads().isEmpty()) {
            throw new BadSetting("settings.Classes is missing: a list with at least one class is needed");
        }
        settings.start(new Choice(Outgoing.nowhere(), seed, 0), false, false, false, false);
        settings.longestHard();
        settings.answerSlack();
        settings.tellsPatience();
        settings.gauge("");
    }

    /** Reads the file that EDGE_CONFIG names. */
    public static Config read(Map<String, String> environment) {
        String file = environment.get("EDGE_CONFIG");
        if (file == null || file.isEmpty()) {
            throw new BadSetting("EDGE_CONFIG is not set: the path of the configuration is needed");
        }
        try {
            return parse(Files.readAllBytes(Path.of(file)), environment);
        } catch (IOException e) {
            throw new BadSetting("EDGE_CONFIG names a file that cannot be read: " + e);
        }
    }

    public static Config parse(byte[] json, Map<String, String> environment) {
        try (JsonParser in = new JsonFactory().createParser(json)) {
            in.nextToken();
            return new Config(Tree.read(in, ""), environment);
        } catch (JsonProcessingException e) {
            throw new BadSetting("the configuration is not valid JSON: " + e.getOriginalMessage());
        } catch (IOException e) {
            throw new BadSetting("the configuration cannot be read: " + e);
        }
    }

    private static long seed(String text) {
        if (!text.matches("[0-9a-fA-F]{1,16}")) {
            throw new BadSetting("seed is '" + text + "': up to 16 hex digits are needed");
        }
        return Long.parseUnsignedLong(text, 16);
    }

    /** Numbers only: no name is looked up anywhere. */
    static InetSocketAddress address(String key, String text) {
        int colon = text.lastIndexOf(':');
        String host = colon < 0 ? "" : text.substring(0, colon);
        String port = text.substring(colon + 1);
        if (!host.matches("[0-9]{1,3}(\\.[0-9]{1,3}){3}|\\[[0-9a-fA-F:.]+\\]") || !port.matches("[0-9]{1,5}")) {
            throw new BadSetting(key + " is '" + text + "': an address of numbers and a port are needed");
        }
        try {
            return new InetSocketAddress(InetAddress.getByName(host), Integer.parseInt(port));
        } catch (IOException | IllegalArgumentException e) {
            throw new BadSetting(key + " is '" + text + "': " + e.getMessage());
        }
    }
}
