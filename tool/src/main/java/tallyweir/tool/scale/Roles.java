package tallyweir.tool.scale;

/** The names of the roles in a fleet. */
final class Roles {
    static final String LEADER = "voter-leads";
    static final String FOLLOWER = "voter-follows";
    static final String SERVER = "server";

    private Roles() {}
}
