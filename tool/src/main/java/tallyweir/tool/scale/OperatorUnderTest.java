package tallyweir.tool.scale;

/** An operator of a simulated fleet, who changes one cap at a time. */
interface OperatorUnderTest {
    /** What became of a change. */
    enum Outcome {
        /** It is proposed or in force. */
        TAKEN,
        /** It waits for the change before it; asked again, it tells what has become of it. */
        WAITING,
        /** Another change came first: it is to be made anew on top of that. */
        LOST,
        /** It was turned down. */
        REFUSED
    }

    /** The command that founds the fleet. */
    byte[] found();

    /** The command that brings the first revision into force. */
    byte[] publishFirst();

    /** The command that changes the cap of a tenant that is drawn. */
    byte[] changeOneCap();

    /** The same change again, on top of what is in force now. */
    byte[] again();

    /** What an answer says of the change that was asked for last. */
    Outcome outcome(byte[] answer);

    /** The revision that the change asked for last is in, 0 while that is not known. */
    long revision();

    /** The highest cap that a tenant has had in any revision. */
    int highestCap(int tenant);
}
