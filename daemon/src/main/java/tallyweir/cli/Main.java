package tallyweir.cli;

import tallyweir.wirehost.WireHost;

/** The command of the platform: its first argument names what is to be done. */
public final class Main {
    private static final String USAGE = """
            usage: java -jar tallyweir.jar SUBCOMMAND
              serve      one real backend on sockets, told by EDGE_CONFIG
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
