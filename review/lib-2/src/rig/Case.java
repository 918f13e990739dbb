package rig;

import java.net.DatagramSocket;
import java.nio.file.Files;
import java.nio.file.Path;

/** What every case has: its folder, the project's root, a record, and whether the disruption is played. */
public abstract class Case {
    protected final Path root = Path.of(System.getProperty("root"));
    protected final Path folder = Path.of(System.getProperty("folder"));
    protected final Path temporary = Path.of(System.getProperty("temporary"));
    protected final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    protected Log log;
    protected DatagramSocket announce;

    /** Returns whether the rule held. */
    protected abstract boolean play() throws Exception;

    /** Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
    protected static void run(Case c) {
        int code = 2;
        try {
            c.log = new Log(c.folder.resolve("record.txt"));
            c.announce = Backend.announceService();
            c.log.say(c.trouble ? "with the disruption" : "without the disruption");
            code = c.play() ? 0 : 1;
        } catch (Throwable e) {
            System.out.println("could not run: " + e);
            if (c.log != null) {
                c.log.line("could not run: " + e);
            }
            e.printStackTrace();
        }
        if (c.log != null) {
            c.log.say(code == 0 ? "the rule held" : code == 1 ? "the rule was broken" : "the case could not run");
            c.log.close();
        }
        System.exit(code);
    }

    protected Path write(String name, String text) throws Exception {
        Path file = temporary.resolve(name);
        Path next = temporary.resolve(name + ".next");
        Files.writeString(next, text);
        return Files.move(
                next,
                file,
                java.nio.file.StandardCopyOption.REPLACE_EXISTING,
                java.nio.file.StandardCopyOption.ATOMIC_MOVE);
    }

    protected String config(String name, String kernel, String store, int stopMs, String settings) {
        return config(name, "127.0.0.1:0", kernel, store, stopMs, settings);
    }

    protected String config(String name, String listen, String kernel, String store, int stopMs, String settings) {
        return "{\"name\":\"" + name + "\",\"listen\":\"" + listen + "\",\"kernel\":\"" + kernel + "\",\"announce\":\"127.0.0.1:"
                + announce.getLocalPort() + "\",\"store\":\"" + store
                + "\",\"seed\":\"8c1f30d27a5be964\",\"stop_ms\":" + stopMs
                + ",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},\"settings\":" + settings + "}";
    }
}
