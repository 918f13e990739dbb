package tallyweir.fleet.ratis;

import java.io.IOException;

/** Something that replies to questions about tables: one voter, or whatever a test puts in its place. */
interface TableSource {
    /** Asks one question; fails where no reply came. */
    Reply ask(Question question) throws IOException;
}
