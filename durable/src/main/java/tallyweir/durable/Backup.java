package tallyweir.durable;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.function.LongConsumer;

/**
 * Copies a store as it is at one moment to another, empty one, while writes to the first go on. Records keep their
 * stamps and the time at which they expire. The copy is a store like any other, so it can be looked at, verified and
 * opened; restoring is the same the other way.
 */
public final class Backup {
    private static final int PIECE = 512 << 10;

    private Backup() {}

    /**
     * @param progress told the number of records copied, now and then and at the end
     * @return how many records were copied
     * @throws Refused AT_BOUND where the other is not empty, or what its disk says
     */
    public static long copy(View from, Durable to, LongConsumer progress) throws IOException {
        if (to.keys() > 0) {
            throw new Refused(Refused.Cause.AT_BOUND, "the store to copy to is not empty: " + to.keys() + " keys");
        }
        long copied = 0;
        for (String namespace : from.namespaces()) {
            List<Found> piece = new ArrayList<>();
            long bytes = 0;
            for (Iterator<Found> in = from.range(namespace, new byte[0], null); in.hasNext();) {
                Found f;
                try {
                    f = in.next();
                } catch (UncheckedIOException e) {
                    throw e.getCause();
                }
                piece.add(f);
                bytes += Format.RECORD + f.key().length + f.value().length;
                if (bytes >= PIECE || !in.hasNext()) {
                    to.take(namespace, piece, bytes);
                    copied += piece.size();
                    piece.clear();
                    bytes = 0;
                    progress.accept(copied);
                }
            }
        }
        return copied;
    }
}
