package tallyweir.cli;

import tallyweir.wirehost.WireHost;

/** The entry point that the platform starts; the first argument is the subcommand. */
public final class Main {
    private static final String USAGE = """
            usage: java -jar tallyweir.jar SUBCOMMAND
              serve      run one backend on sockets, configured by EDGE_CONFIG
              wirehost   host decision instances on the simulator's wire (standard input and output)
              help       print this text""";

    private Main() {}

    public static void main(String[] args) {
        String command = args.length == 1 ? args[0] : "";
        switch (command) {
            case "serve" -> System.exit(Serve.serve(System.getenv(), System.err));
            case "wirehost" -> System.exit(WireHost.serve(System.in, System.out, System.err));
            case "help", "--help", "-h" -> System.out.println(USAGE);
            default -> {
                System.err.println(USAGE);
                System.exit(2);
            }
        }
    }
}
