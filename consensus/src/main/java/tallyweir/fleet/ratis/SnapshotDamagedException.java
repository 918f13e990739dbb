package tallyweir.fleet.ratis;

import java.io.IOException;

/** A snapshot file that is torn, changed or not a snapshot. */
final class SnapshotDamagedException extends IOException {
    private static final long serialVersionUID = 1;

    SnapshotDamagedException(String message) {
        super(message);
    }

    SnapshotDamagedException(String message, Throwable cause) {
        super(message, cause);
    }
}
