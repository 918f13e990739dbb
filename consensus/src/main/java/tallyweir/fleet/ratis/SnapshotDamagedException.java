package tallyweir.fleet.ratis;

import java.io.IOException;

/** Thrown for a snapshot file that is truncated, altered or not a snapshot. */
final class SnapshotDamagedException extends IOException {
    private static final long serialVersionUID = 1;

    SnapshotDamagedException(String message) {
        super(message);
    }

    SnapshotDamagedException(String message, Throwable cause) {
        super(message, cause);
    }
}
