package tallyweir.results;

/**
 * What {@link Marks} asks for. Each write and look is answered later by one call of the method named, never within the
 * call itself; writes of one mark take effect in the order in which they were asked for.
 */
public interface Keeping {
    /** Write down that a run may begin; answered by {@link Marks#intended}. */
    void intend(RunId run, Mark mark, long body, long until);

    /** Write down how a run ended, in the place of its intent; answered by {@link Marks#recorded}. */
    void record(RunId run, Mark mark, long body, Known known, byte[] result, long until);

    /** Take an intent back, its run never having begun; answered by {@link Marks#withdrawn}. */
    void withdraw(RunId run, Mark mark);

    /** Read what the disk has of a mark; answered by {@link Marks#looked}. */
    void look(Mark mark);

    /** Give the run to the kernel. */
    void begin(RunId run);

    /** A copy is over: this is its answer. */
    void answer(RunId copy, Known known, byte[] result);

    /** A copy is refused, for its mark belongs to another body. */
    void otherBody(RunId copy);

    /** A copy that was admitted has not begun and will not: it may be deferred, and run another time. */
    void notBegun(RunId copy);

    /** Nothing more will be asked for a run. */
    void over(RunId run);
}
