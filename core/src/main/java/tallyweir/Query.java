package tallyweir;

import java.util.ArrayList;
import java.util.List;
import tallyweir.ids.QueryId;
import tallyweir.ids.SubjectId;

/** The state of one query that was read. Times are tenths of a millisecond on the clock of {@link Choice}. */
final class Query {
    enum State {
        /** Not started, or suspended: in the waiting queue until a core is free. */
        HELD,
        /** A repeat that waits until the query it repeats has started. */
        FOLLOWING,
        /** A repeat being answered from the result of the query it repeats. */
        REPLAYING,
        /** On the cores. */
        RUNNING,
        /** Blocked until its call to the store can be made. */
        AT_CALL,
        /** Its call to the store is in flight. */
        CALLING,
        /** Ended and removed. */
        OVER
    }

    QueryId id;
    long order; // increases with each query and deadline; breaks ties
    Workload workload;
    Tenant tenant;
    SubjectId subject;
    long arrived; // earlier than the time of reading by the time the query lay unread
    long answerBy; // the latest time at which an answer still counts
    long goodBy; // an answer earns its full revenue until then
    long useBy; // an answer earns nothing from then on
    double size;
    boolean again;
    long predicted; // run time as predicted by the caller; 0 if there is no prediction
    State state = State.HELD;
    boolean answered; // answered, or its caller disconnected
    boolean ran; // was started at least once
    boolean kept; // its key and result are retained
    boolean paused; // in the waiting queue with its progress and the memory of a run
    boolean stood; // was blocked on a call at least once
    long began;
    long onSince; // when the query would have started, had it stayed on the cores without a break
    long onCores; // time spent on the cores up to the last break
    long called;
    long callUntil;
    int calls;
    Query leader; // the query that this one repeats; null if none
    final List<Query> followers = new ArrayList<>(0);

    boolean harmless() {
        return workload.effect == Effect.HARMLESS;
    }

    /** Whether the query is started and not ended, blocked on a call or not. */
    boolean begun() {
        return state == State.RUNNING || state == State.AT_CALL || state == State.CALLING;
    }

    /** Whether the query's caller still waits for an answer. */
    boolean open() {
        return state != State.OVER && !answered;
    }
}
