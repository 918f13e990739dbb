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

/** The snapshot files of one voter, named as Ratis names them. A damaged one is put aside and the one before is used. */
final class SnapshotStore {
    private static final Logger LOG = LoggerFactory.getLogger(SnapshotStore.class);
    private static final String UNFINISHED = "unfinished.";
    private static final String DAMAGED = "damaged.";

    private final Path dir;

    SnapshotStore(Path dir) {
        this.dir = dir;
    }

    /** A state and the entry of the log up to which it holds. */
    record Loaded(State state, TermIndex at) {}

    /** Writes a state; a file under a snapshot's name is always whole. */
    SingleFileSnapshotInfo save(State state, TermIndex at) throws IOException {
        String name = SimpleStateMachineStorage.getSnapshotFileName(at.getTerm(), at.getIndex());
        Path unfinished = dir.resolve(UNFINISHED + name);
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
     * Loads the newest snapshot, or before it the newest that is not damaged.
     *
     * @throws SnapshotDamagedException where there are snapshots and each is damaged
     */
    Optional<Loaded> loadNewestUndamaged() throws IOException {
        List<Path> newestFirst = newestFirst();
        for (Path file : newestFirst) {
            try {
                return Optional.of(load(file));
            } catch (SnapshotDamagedException e) {
                LOG.atError()
                        .setCause(e)
                        .addKeyValue("file", file)
                        .log("a snapshot is damaged; an earlier one is used");
                Files.move(
                        file, file.resolveSibling(DAMAGED + file.getFileName()), StandardCopyOption.REPLACE_EXISTING);
            }
        }
        if (!newestFirst.isEmpty()) {
            throw new SnapshotDamagedException("every snapshot in " + dir + " is damaged");
        }
        return Optional.empty();
    }

    /** Loads the newest snapshot and no other. */
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
                throw new SnapshotDamagedException("it goes on after its last part");
            }
        } catch (RuntimeException e) { // the reader's own, or a state that such parts do not make
            throw new SnapshotDamagedException(file + " cannot be loaded", e);
        }
        return new Loaded(state, index(file));
    }
}
