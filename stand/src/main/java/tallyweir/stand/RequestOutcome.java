package tallyweir.stand;

/**
 * The outcome of one request as its caller observed it. Times are those of {@link System#nanoTime()}.
 *
 * @param id its Request-Id
 * @param caller the name of the caller's profile
 * @param connectedAt when its connection was established
 * @param writtenAt when its last byte was written
 * @param endedAt when the caller observed its end
 * @param end how it ended
 * @param status the status of its answer, 0 without one
 * @param resent whether it is the single retry of a request that crossed the close of its connection
 */
public record RequestOutcome(
        String id, String caller, long connectedAt, long writtenAt, long endedAt, End end, int status, boolean resent) {
    /** The ways in which a request can end. */
    public enum End {
        /** A complete answer arrived in time. */
        ANSWERED,
        /** A complete answer arrived after the caller's timeout. */
        ANSWERED_LATE,
        /** It crossed the server's close of an idle connection; the caller may send it again once. */
        CROSSED,
        /** Its connection ended without an answer. */
        CONNECTION_ENDED,
        /** Its connection stayed open, but no answer arrived. */
        UNANSWERED
    }

    /** Whether the request should have been answered but was not. */
    public boolean isLost() {
        return end == End.CONNECTION_ENDED || end == End.UNANSWERED;
    }
}
