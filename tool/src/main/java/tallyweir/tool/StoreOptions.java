package tallyweir.tool;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import picocli.CommandLine.ArgGroup;
import picocli.CommandLine.Option;
import tallyweir.config.OperatorSettings;
import tallyweir.durable.AdminSocket;
import tallyweir.durable.Committer;
import tallyweir.durable.CopyExecutor;
import tallyweir.durable.Disk;
import tallyweir.durable.Durable;
import tallyweir.durable.FileDisk;
import tallyweir.durable.FileStore;
import tallyweir.durable.Namespace;
import tallyweir.durable.ReadOnlyDisk;
import tallyweir.durable.StoreRefusedException;

/** Which store a command is about: that of an operators' file, or one by its directories. */
final class StoreOptions {
    @ArgGroup(multiplicity = "1")
    private Which which;

    @Option(names = "--json", description = "Print JSON.")
    private boolean json;

    static final class Which {
        @Option(names = "--settings", description = "The operators' file that names the store.")
        private Path settings;

        @ArgGroup(exclusive = false)
        private Directories directories;
    }

    static final class Directories {
        @Option(names = "--dir", required = true, description = "The store's directory.")
        private Path dir;

        @Option(names = "--second-dir", description = "Where its second copy is, if not in DIR/second.")
        private Path second;

        @Option(names = "--sector", defaultValue = "4096", description = "Its sector_bytes (${DEFAULT-VALUE}).")
        private int sector;
    }

    boolean json() {
        return json;
    }

    private Path first(OperatorSettings o) {
        return o != null ? o.firstCopyDir() : which.directories.dir.resolve("first");
    }

    private Path second(OperatorSettings o) {
        return o != null
                ? o.secondCopyDir()
                : which.directories.second != null ? which.directories.second : which.directories.dir.resolve("second");
    }

    /** Something done with the store itself. */
    interface Here<T> {
        T with(Durable store) throws IOException;
    }

    /** The same, asked of the process that holds it. */
    interface There<T> {
        T at(Path adminSocket) throws IOException;
    }

    /** Looks at the store; where another process holds it and answers at its admin socket, that process is asked. */
    <T> T look(Here<T> here, There<T> there) throws IOException {
        try (Durable d = look()) {
            return here.with(d);
        } catch (StoreRefusedException r) {
            OperatorSettings o = which.settings == null ? null : OperatorSettings.read(which.settings);
            if (r.reason() != StoreRefusedException.Cause.IN_USE || !AdminSocket.isListening(adminSocket(o))) {
                throw r;
            }
            return there.at(adminSocket(o));
        }
    }

    /** Something done with a store that may be written, and is written by nobody else. */
    interface Writing {
        void with(Durable store, Committer committer) throws IOException;
    }

    /**
     * Changes something in the store; where another process holds it and answers at its admin socket, that process does it.
     *
     * @param spaces what is written, where no operators' file says its bounds
     */
    void change(List<String> spaces, Writing here, There<Void> there) throws IOException {
        OperatorSettings o = which.settings == null ? null : OperatorSettings.read(which.settings);
        List<Namespace> all = new ArrayList<>(o == null ? List.of() : o.namespaces());
        for (String s : spaces) {
            if (all.stream().noneMatch(n -> n.name().equals(s))) {
                all.add(new Namespace(s, Long.MAX_VALUE, false));
            }
        }
        try (Durable d = open(false, all);
                Committer c = new Committer(d, 64 << 20, 0, 1)) {
            here.with(d, c);
        } catch (StoreRefusedException r) {
            if (r.reason() != StoreRefusedException.Cause.IN_USE || !AdminSocket.isListening(adminSocket(o))) {
                throw r;
            }
            there.at(adminSocket(o));
        }
    }

    private Path adminSocket(OperatorSettings o) {
        return o != null ? o.adminSocket() : which.directories.dir.resolve("desk");
    }

    /** Opens it, which mends what is damaged. */
    Durable open() throws IOException {
        return open(false);
    }

    /** Opens it without changing anything. */
    Durable look() throws IOException {
        return open(true);
    }

    private Durable open(boolean look) throws IOException {
        return open(look, null);
    }

    private Durable open(boolean look, List<Namespace> spaces) throws IOException {
        OperatorSettings o = which.settings == null ? null : OperatorSettings.read(which.settings);
        if (o != null && !o.hasDurableStore()) {
            throw new IOException(which.settings + " has no durable part: the store is off there");
        }
        Path first = first(o);
        Path second = second(o);
        if (!Files.isDirectory(first) && !Files.isDirectory(second)) {
            throw new IOException("there is no store: neither " + first + " nor " + second + " is a directory");
        }
        Disk one = new FileDisk(first);
        Disk other = new FileDisk(second);
        return new Durable(
                look ? new ReadOnlyDisk(one) : one,
                look ? new ReadOnlyDisk(other) : other,
                CopyExecutor.SEQUENTIAL,
                o == null ? 64 << 20 : o.segmentBytes(),
                o == null ? which.directories.sector : o.sectorBytes(),
                o == null ? 0.5 : o.deadShare(),
                0,
                spaces != null ? spaces : o == null ? List.of() : o.namespaces(),
                ThreadLocalRandom.current().nextLong(),
                FileStore::currentTime,
                Runnable::run,
                Set.of());
    }
}
