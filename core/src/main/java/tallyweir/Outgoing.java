package tallyweir;

import java.lang.reflect.Proxy;
import tallyweir.ids.QueryId;
import tallyweir.ids.TimerId;

/**
 * The actions that a {@link Choice} asks for, one method each. Called on the thread that calls the Choice, before
 * that call returns. Times are tenths of a millisecond.
 */
public interface Outgoing {
    /** Returns an implementation that ignores every action, for decisions that are only compared. */
    static Outgoing ignoring() {
        return (Outgoing) Proxy.newProxyInstance(
                Outgoing.class.getClassLoader(), new Class<?>[] {Outgoing.class}, (proxy, method, arguments) -> null);
    }

    /** Starts or resumes the run of the query on the cores. */
    void run(QueryId query);

    /**
     * Answers that the query was not carried out.
     *
     * @param retryAfter how long the caller should wait before it sends again; 0 for no advice
     * @param finalRefusal whether to advise against a retry on another server
     */
    void defer(QueryId query, long retryAfter, boolean finalRefusal);

    /** Answers that the query ended in an error and may have had an effect. */
    void fail(QueryId query);

    /** Cancels or suspends a run, as {@link CancellationMode} allows. */
    void cancel(QueryId query);

    /** Makes the query's call to the store, with this timeout. */
    void call(QueryId query, long timeout);

    /** Continues the run without its call, for a degraded answer. */
    void degrade(QueryId query);

    /** Retains the query's key and result for this long, so that repeats can be recognized and answered from it. */
    void retain(QueryId query, long duration);

    /** Discards what was retained for a query that never ran. */
    void discardRetained(QueryId query);

    /** Answers the query with the result of the earlier query that it repeats. */
    void replay(QueryId query);

    /**
     * Sets the answer to health checks.
     *
     * @param healthy whether new connections are welcome
     * @param stored passed on as it is by the front; always true today
     */
    void setHealth(boolean healthy, boolean stored);

    /** Advertises the load to callers: 0 for none, 1 if queries of every revenue are refused. */
    void advertiseLoad(double load);

    /** Sets how long a connection may be idle before it is closed. */
    void setIdleTimeout(long timeout);

    /** Sets a timer; {@link Choice#onTimer} is to be called at that time. */
    void setTimer(long at, TimerId timer);
}
