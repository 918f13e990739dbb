package tallyweir.backend;

/**
 * Limits on the number of open connections of callers.
 *
 * @param softLimit above this number, each new connection closes another one without a pending answer
 * @param max at this number, no more are accepted and further callers wait in the listener's queue
 */
record ConnectionLimits(int softLimit, int max) {}
