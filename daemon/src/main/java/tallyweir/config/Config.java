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

/**
 * The start configuration of a server, from the file that EDGE_CONFIG names and the environment. All parsing, validation
 * and defaults of that file are in this class.
 */
public final class Config {
    public final String name;
    public final InetSocketAddress listen;
    public final InetSocketAddress kernel;
    public final InetSocketAddress store; // null if no workload calls the store
    public final InetSocketAddress announce;
    public final long seed;
    /** Time allowed for a graceful shutdown, in tenths of a millisecond. */
    public final long shutdownTimeoutTenthsMs;
    /** The maximum number of sockets that are open at a time, from which the limits per kind of connection follow. */
    public final int maxSockets;

    public final Settings settings;

    private Config(SettingsObject root, Map<String, String> environment) {
        name = root.string("name", environment.getOrDefault("EDGE_NAME", ""));
        if (!name.matches("[!-~]{1,64}")) {
            throw new InvalidSettingException(
                    "name is '" + name + "': 1 to 64 printable ASCII characters without spaces are needed");
        }
        listen = parseAddress("listen", root.string("listen", environment.getOrDefault("EDGE_LISTEN", "")));
        kernel = parseAddress("kernel", root.string("kernel"));
        announce = parseAddress("announce", root.string("announce"));
        seed = parseSeed(root.string("seed"));
        shutdownTimeoutTenthsMs = root.integer("stop_ms", 0, Integer.MAX_VALUE) * 10L;
        maxSockets = root.child("limits").integer("sockets", 64, 1 << 20);
        settings = new Settings(root.child("settings"));
        // Without a workload that calls the store its address may be absent.
        store = settings.callsStore() || root.has("store") ? parseAddress("store", root.string("store")) : null;
        validate();
    }

    /** Decodes all settings once, into decisions without effect, so that an invalid key is reported at the start. */
    private void validate() {
        if (settings.effects().isEmpty()) {
            throw new InvalidSettingException("settings.Classes is missing: a list with at least one class is needed");
        }
        settings.start(new Choice(Outgoing.ignoring(), seed, 0), false, false, false, false);
        settings.maxHardLimit();
        settings.answerSlack();
        settings.passesTimeout();
        settings.gaugeIndex("");
    }

    /**
     * Reads the file that EDGE_CONFIG names.
     *
     * @throws InvalidSettingException if the file cannot be read or has an invalid key
     */
    public static Config read(Map<String, String> environment) {
        String file = environment.get("EDGE_CONFIG");
        if (file == null || file.isEmpty()) {
            throw new InvalidSettingException("EDGE_CONFIG is not set: the path of the configuration file is needed");
        }
        try {
            return parse(Files.readAllBytes(Path.of(file)), environment);
        } catch (IOException e) {
            throw new InvalidSettingException("EDGE_CONFIG names a file that cannot be read: " + e);
        }
    }

    /**
     * Parses the configuration.
     *
     * @param environment supplies EDGE_NAME and EDGE_LISTEN for keys that the file lacks
     * @throws InvalidSettingException if it is not valid JSON or has an invalid key
     */
    public static Config parse(byte[] json, Map<String, String> environment) {
        try (JsonParser in = new JsonFactory().createParser(json)) {
            in.nextToken();
            return new Config(SettingsObject.read(in, ""), environment);
        } catch (JsonProcessingException e) {
            throw new InvalidSettingException("the configuration is not valid JSON: " + e.getOriginalMessage());
        } catch (IOException e) {
            throw new InvalidSettingException("the configuration cannot be read: " + e);
        }
    }

    private static long parseSeed(String text) {
        if (!text.matches("[0-9a-fA-F]{1,16}")) {
            throw new InvalidSettingException("seed is '" + text + "': up to 16 hex digits are needed");
        }
        return Long.parseUnsignedLong(text, 16);
    }

    /** Parses a numeric IP address and a port; host names are refused, so that nothing is resolved. */
    static InetSocketAddress parseAddress(String key, String text) {
        int colon = text.lastIndexOf(':');
        String host = colon < 0 ? "" : text.substring(0, colon);
        String port = text.substring(colon + 1);
        if (!host.matches("[0-9]{1,3}(\\.[0-9]{1,3}){3}|\\[[0-9a-fA-F:.]+\\]") || !port.matches("[0-9]{1,5}")) {
            throw new InvalidSettingException(key + " is '" + text + "': a numeric IP address and a port are needed");
        }
        try {
            return new InetSocketAddress(InetAddress.getByName(host), Integer.parseInt(port));
        } catch (IOException | IllegalArgumentException e) {
            throw new InvalidSettingException(key + " is '" + text + "': " + e.getMessage());
        }
    }
}
