package tallyweir.fleet.ratis;

import java.io.IOException;

/** Answers read requests about tables: one voter, or a substitute in tests and simulations. */
interface TableSource {
    /** Sends one request and waits for its response; throws if none arrives. */
    ReadResponse read(ReadRequest request) throws IOException;
}
