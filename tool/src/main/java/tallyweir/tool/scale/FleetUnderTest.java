package tallyweir.tool.scale;

/**
 * The operations of a fleet's state and of one of its servers whose growth is measured. Each is done once a call, in the
 * encoded form in which it goes over the wire, and says what it cost.
 */
interface FleetUnderTest extends AutoCloseable {
    /** Founds a fleet of this size, brings a first revision into force, and lets every server join and report. */
    Cost found(FleetSize size);

    /** A server that was restarted joins again: a voter applies its command. */
    Cost join(int server);

    /** A server reports that nothing has changed, with the tenants that it serves: a voter applies its command. */
    Cost report(int server);

    /** A change of one tenant's cap comes into force: a voter applies the command. */
    Cost publishOneCapChange();

    /** The change of a cap, in the state alone, with the command decoded already. */
    Cost changeInState();

    /** The report, in the state alone, with the command decoded already. */
    Cost reportInState(int server);

    /** An earlier revision comes into force again: a voter applies the command. */
    Cost rollback();

    /** A voter takes a snapshot. */
    Cost save();

    /** A voter starts from the last snapshot that was taken. */
    Cost load();

    /** One server fetches a change, checks it, applies it and digests what is in force; needs {@link #prepareServer}. */
    Cost serverApply();

    /** Makes one server of a fleet of this size, without the others. */
    void prepareServer(FleetSize size);

    /** Heap that the state takes, bytes: what is in use now beyond what was before it was founded. */
    long stateBytes();

    /** Heap that one server takes for what it acts on, bytes: what is in use now beyond what was before it was prepared. */
    long serverBytes();

    /** Deletes what was written to the disk. */
    @Override
    void close();
}
