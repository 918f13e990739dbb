package tallyweir;

import java.lang.reflect.Proxy;
import tallyweir.ids.QueryId;
import tallyweir.ids.TimerId;

/** What the decisions ask for: one method an action. Times are tenths of a millisecond. */
public interface Outgoing {
    /** Asks nobody: for decisions that lead nowhere. */
    static Outgoing nowhere() {
        return (Outgoing) Proxy.newProxyInstance(
                Outgoing.class.getClassLoader(), new Class<?>[] {Outgoing.class}, (proxy, method, arguments) -> null);
    }

    void run(QueryId query);

    void defer(QueryId query, long keepOff, boolean nowhereElse);

    void fail(QueryId query);

    void stop(QueryId query);

    void call(QueryId query, long timeOut);

    void poorer(QueryId query);

    void keep(QueryId query, long span);

    void forget(QueryId query);

    void reuse(QueryId query);

    void health(boolean good, boolean stored);

    void say(double value);

    void closeIdle(long span);

    void wake(long at, TimerId timer);
}
