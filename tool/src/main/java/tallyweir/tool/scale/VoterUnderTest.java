package tallyweir.tool.scale;

import java.io.IOException;

/** A voter of a simulated fleet: commands and questions come in as bytes and answers go out as bytes. */
interface VoterUnderTest {
    /** Applies an entry of the log and returns its answer. */
    byte[] apply(long now, byte[] command);

    /** Replies to a question about a table, which is no entry of the log. */
    byte[] read(byte[] question) throws IOException;

    /** When the clock alone changes something. */
    long nextDue();

    /** The revision in force, 0 for none. */
    long inForce();

    /** Whether a revision that was proposed has been turned down. */
    boolean turnedDown(long revision);

    /** Servers that the state takes for shut out. */
    int shutOut();
}
