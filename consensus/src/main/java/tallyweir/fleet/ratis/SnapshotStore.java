package tallyweir.fleet.ratis;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.apache.ratis.io.MD5Hash;
import org.apache.ratis.server.protocol.TermIndex;
import org.apache.ratis.server.storage.FileInfo;
import org.apache.ratis.statemachine.impl.SimpleStateMachineStorage;
import org.apache.ratis.statemachine.impl.SingleFileSnapshotInfo;
import org.apache.ratis.util.MD5FileUtil;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import tallyweir.fleet.State;

/** The snapshot files of one voter, under the names that Ratis gives them. A damaged file is renamed and the previous one is used. */
final class SnapshotStore {
    private static final Logger LOG = LoggerFactory.getLogger(SnapshotStore.class);
    private static final String UNFINISHED_PREFIX = "unfinished.";
    private static final String DAMAGED_PREFIX = "damaged.";

    private final Path dir;

    SnapshotStore(Path dir) {
        this.dir = dir;
    }

    /** A loaded state and the last log entry that it includes. */
    record Loaded(State state, TermIndex lastEntry) {}

    /** Writes a state. The file is renamed only after it has been synced, so a file under a snapshot's name is always complete. */
    SingleFileSnapshotInfo save(State state, TermIndex at) throws IOException {
        String name = SimpleStateMachineStorage.getSnapshotFileName(at.getTerm(), at.getIndex());
        Path unfinished = dir.resolve(UNFINISHED_PREFIX + name);
        try (SnapshotFileWriter writer = new SnapshotFileWriter(unfinished)) {
            state.save(writer);
            writer.finish();
        }
        Path file = Files.move(
                unfinished, dir.resolve(name), StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        MD5Hash digest = MD5FileUtil.computeAndSaveMd5ForFile(file.toFile());
        return new SingleFileSnapshotInfo(new FileInfo(file, digest), at);
    }

    /**
     * Loads the newest undamaged snapshot and renames the damaged ones that are newer.
     *
     * @return empty if there is no snapshot
     * @throws SnapshotDamagedException if there are snapshots and all of them are damaged
     */
    Optional<Loaded> loadNewestUndamaged() throws IOException {
        List<Path> newestFirst = newestFirst();
        for (Path file : newestFirst) {
            try {
                return Optional.of(load(file));
            } catch (SnapshotDamagedException e) {
                LOG.atError().setCause(e).addKeyValue("file", file).log("snapshot is damaged; trying the previous one");
                Files.move(
                        file,
                        file.resolveSibling(DAMAGED_PREFIX + file.getFileName()),
                        StandardCopyOption.REPLACE_EXISTING);
            }
        }
        if (!newestFirst.isEmpty()) {
            throw new SnapshotDamagedException("every snapshot in " + dir + " is damaged");
        }
        return Optional.empty();
    }

    /** Loads the newest snapshot without falling back to an earlier one; empty if there is no snapshot. */
    Optional<Loaded> loadNewest() throws IOException {
        List<Path> newestFirst = newestFirst();
        return newestFirst.isEmpty() ? Optional.empty() : Optional.of(load(newestFirst.get(0)));
    }

    private List<Path> newestFirst() throws IOException {
        if (!Files.isDirectory(dir)) {
            return List.of();
        }
        try (Stream<Path> files = Files.list(dir)) {
            return files.filter(SnapshotStore::isSnapshot)
                    .sorted(Comparator.comparing(SnapshotStore::index).reversed())
                    .toList();
        }
    }

    private static boolean isSnapshot(Path file) {
        return SimpleStateMachineStorage.SNAPSHOT_REGEX
                .matcher(file.getFileName().toString())
                .matches();
    }

    private static TermIndex index(Path file) {
        return SimpleStateMachineStorage.getTermIndexFromSnapshotFile(file.toFile());
    }

    private static Loaded load(Path file) throws IOException {
        State state = new State();
        try (SnapshotFileReader reader = new SnapshotFileReader(file)) {
            state.load(reader);
            if (reader.hasNext()) {
                throw new SnapshotDamagedException("there are parts after the end of the state");
            }
        } catch (RuntimeException e) { // from the reader, or because the parts do not form a valid state
            throw new SnapshotDamagedException(file + " cannot be loaded", e);
        }
        return new Loaded(state, index(file));
    }
}
