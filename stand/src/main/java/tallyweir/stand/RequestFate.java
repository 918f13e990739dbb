package tallyweir.stand;

/**
 * What became of one request, as its caller saw it. Times are those of {@link System#nanoTime()}.
 *
 * @param id its Request-Id
 * @param caller which caller sent it, and how
 * @param connected when its connection was established
 * @param written when its last byte was written
 * @param ended when its end was seen
 * @param end how it ended
 * @param status of its answer, 0 where there was none
 * @param resent whether it is the one resend of a request that crossed the end of its connection
 */
public record RequestFate(
        String id, String caller, long connected, long written, long ended, End end, int status, boolean resent) {
    /** How a request may end. */
    public enum End {
        /** A whole answer came in time. */
        ANSWERED,
        /** A whole answer came, later than the caller waits. */
        ANSWERED_LATE,
        /** It crossed the end of a connection at rest and was sent once more. */
        CROSSED,
        /** Its connection ended with no answer. */
        CONNECTION_ENDED,
        /** Its connection stayed open, and no answer came. */
        UNANSWERED
    }

    /** Whether its caller was owed an answer that it did not get. */
    public boolean isLost() {
        return end == End.CONNECTION_ENDED || end == End.UNANSWERED;
    }
}
