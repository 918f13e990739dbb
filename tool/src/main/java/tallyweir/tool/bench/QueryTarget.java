package tallyweir.tool.bench;

import java.util.function.Consumer;

/** Where a load sends its queries. */
interface QueryTarget {
    /** Sends a query; its outcome is told once, on any thread. */
    void send(Arrival arrival, Consumer<QueryOutcome> whenEnded);
}
