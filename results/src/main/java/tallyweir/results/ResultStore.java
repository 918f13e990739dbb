package tallyweir.results;

import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import tallyweir.ids.JobId;

/**
 * Where marks are kept over restarts. Nothing here waits for a disk: what is asked for is told later, on the thread that
 * asked, in any order; writes of one mark take effect in the order in which they were asked for. Times are tenths of a
 * millisecond since 1970.
 */
public interface ResultStore {
    /** What is kept of one mark: an intent where {@code known} is null. */
    record Kept(Mark mark, JobId job, long body, Known known, byte[] result, long written, long until) {}

    /** Whether anything is kept of a mark; told from memory. */
    boolean knows(Mark mark);

    /** Whether another mark may be taken, with the outcomes of those under way still to come. */
    boolean hasRoom(int underWay);

    void intend(Mark mark, JobId job, long body, long until, Consumer<Boolean> done);

    void record(Mark mark, JobId job, long body, Known known, byte[] result, long until, Consumer<Boolean> done);

    void withdraw(Mark mark, Consumer<Boolean> done);

    /** Tells what is kept, null where nothing can be read of it. */
    void look(Mark mark, Consumer<Kept> then);

    /** The intents that were there when the process began. */
    List<Kept> intents();

    /** Guards of the marks that are off: none, but in a drill that shows what each is for. */
    default Set<Marks.Guard> without() {
        return Set.of();
    }
}
