package tallyweir;

import java.util.ArrayList;
import java.util.List;
import tallyweir.ids.QueryId;
import tallyweir.ids.SubjectId;

/** What is known of one query that was read. */
final class Query {
    enum State {
        HELD,
        FOLLOWING,
        REPLAYING,
        RUNNING,
        AT_CALL,
        CALLING,
        OVER
    }

    QueryId id;
    long order;
    Workload workload;
    Tenant tenant;
    SubjectId subject;
    long arrived;
    long answerBy; // the last moment at which our answer still counts
    long goodBy; // until then an answer earns its full revenue
    long useBy; // from then on it earns nothing
    double size;
    boolean again;
    long predicted;
    State state = State.HELD;
    boolean answered; // nothing is owed any more, by our word or the caller's going
    boolean ran;
    boolean kept;
    boolean paused; // in the hold with its progress and the memory of a run
    boolean stood; // at a call, once
    long began;
    long onSince; // when the present stay on the cores would have begun, had there been no break
    long onCores; // time spent there up to the last break
    long called;
    long callUntil;
    int calls;
    Query leader;
    final List<Query> followers = new ArrayList<>(0);

    boolean harmless() {
        return workload.effect == Effect.HARMLESS;
    }

    boolean begun() {
        return state == State.RUNNING || state == State.AT_CALL || state == State.CALLING;
    }

    boolean open() {
        return state != State.OVER && !answered;
    }
}
