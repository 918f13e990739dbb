package tallyweir.backend;

/**
 * How many connections of callers there may be at once.
 *
 * @param usual past so many, each new one makes another give way that is owed no answer
 * @param most so many are accepted; who comes then waits in the listener's queue
 */
record ConnectionLimits(int usual, int most) {}
