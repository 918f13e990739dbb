package tallyweir.tool.scale;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** Directories of a run. */
final class Directories {
    private Directories() {}

    /** Deletes a directory with all that is in it. */
    static void delete(Path dir) throws IOException {
        List<Path> all;
        try (Stream<Path> walk = Files.walk(dir)) {
            all = walk.sorted(Comparator.reverseOrder()).toList();
        }
        for (Path each : all) {
            Files.deleteIfExists(each);
        }
    }
}
