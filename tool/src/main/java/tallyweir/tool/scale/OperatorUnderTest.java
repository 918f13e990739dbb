package tallyweir.tool.scale;

import tallyweir.fleet.Answer;
import tallyweir.fleet.Command;

/** An operator of a simulated fleet, who changes one cap at a time. */
interface OperatorUnderTest {
    /** What became of a change. */
    enum Outcome {
        /** It is proposed or in force, in a revision that is known. */
        TAKEN,
        /** It waits for the change before it; the same command again tells what has become of it. */
        WAITING,
        /** It was turned down. */
        REFUSED
    }

    /** One change that is asked for, by the same command each time. */
    interface Change {
        /** The command to send. */
        Command command();

        /** What an answer to it says. */
        Outcome hear(Answer answer);

        /** The revision that it is in, 0 while that is not known. */
        long revision();
    }

    /** The command that founds the fleet. */
    Command found();

    /** The change that brings the first revision into force. */
    Change publishFirst();

    /** A change of the cap of a tenant that is drawn. */
    Change changeOneCap();

    /** The highest cap that a tenant has had in any revision. */
    int highestCap(int tenant);
}
