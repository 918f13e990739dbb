package tallyweir.durable;

import java.io.IOException;

/** Runs the same action on both copies of the store, sequentially or concurrently. */
@FunctionalInterface
public interface CopyExecutor {
    /** An I/O action on one copy. */
    interface Action {
        void run() throws IOException;
    }

    /** Returns once both actions have completed. Throws if either failed; then the result of neither may be relied on. */
    void run(Action first, Action second) throws IOException;

    /** The same, and runs another task that touches neither copy in the meantime, whether the actions fail or not. */
    default void run(Action first, Action second, Runnable meanwhile) throws IOException {
        try {
            run(first, second);
        } finally {
            meanwhile.run();
        }
    }

    /** Runs the first action, then the second, on the calling thread. */
    CopyExecutor SEQUENTIAL = (first, second) -> {
        first.run();
        second.run();
    };
}
