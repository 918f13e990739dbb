package tallyweir.tool.bench;

/** How a query ended, as its sender saw it. */
enum QueryOutcome {
    HANDLED,
    REFUSED,
    FAILED,
    DISCONNECTED;

    private static final int OK = 200;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int SERVICE_UNAVAILABLE = 503;

    /** @param status of a whole answer, 0 or less where none came */
    static QueryOutcome of(int status) {
        return switch (status) {
            case OK -> HANDLED;
            case TOO_MANY_REQUESTS, SERVICE_UNAVAILABLE -> REFUSED;
            default -> status <= 0 ? DISCONNECTED : FAILED;
        };
    }
}
