package tallyweir.durable;

import java.io.IOException;

/** How the same thing is done to the two copies: one after the other, or side by side. */
@FunctionalInterface
public interface Both {
    /** An I/O action on one copy. */
    interface Action {
        void run() throws IOException;
    }

    /** Returns once both are done; fails if either failed, and then neither is to be counted on. */
    void run(Action first, Action second) throws IOException;

    /** The same, with something done meanwhile that touches neither; it is done whether they fail or not. */
    default void run(Action first, Action second, Runnable meanwhile) throws IOException {
        try {
            run(first, second);
        } finally {
            meanwhile.run();
        }
    }

    /** One after the other, always in this order. */
    Both IN_TURN = (first, second) -> {
        first.run();
        second.run();
    };
}
