package tallyweir.tool.bench;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** A fleet of two processes: one that votes, and the server that is measured. */
final class BenchFleet implements AutoCloseable {
    private static final String VOTER = "voter";
    private static final String MEMBER = "member";
    private static final String TOOL_CLASS = "tallyweir.tool.Main";
    private static final int SOCKETS = 1_024;
    private static final int HEAP_MB = 160; // with the libraries of the consensus log

    private final Path directory;
    private final RevisionSize size;
    private final Path operators;
    private final ServerProcess voter;
    private final ServerProcess member;

    private BenchFleet(Path directory, RevisionSize size, Path operators, ServerProcess voter, ServerProcess member) {
        this.directory = directory;
        this.size = size;
        this.operators = operators;
        this.voter = voter;
        this.member = member;
    }

    /** Starts both servers and returns once the measured one handles queries under a revision of the given size. */
    static BenchFleet start(Path directory, RevisionSize size) throws IOException, InterruptedException {
        Files.createDirectories(directory);
        Path operators = directory.resolve("operators.json");
        ServerConfig.writeOperators(operators, VOTER, JavaProcess.freePort(), directory.resolve("log"));
        int heapMb = size.heapMb(HEAP_MB);
        ServerProcess voter = ServerProcess.start(directory.resolve(VOTER), size.tenants(), SOCKETS, heapMb, operators);
        ServerProcess member = null;
        try {
            member = ServerProcess.start(directory.resolve(MEMBER), size.tenants(), SOCKETS, heapMb, operators);
            BenchFleet fleet = new BenchFleet(directory, size, operators, voter, member);
            fleet.publish();
            member.awaitReady();
            return fleet;
        } catch (IOException | InterruptedException e) {
            if (member != null) {
                member.close();
            }
            voter.close();
            throw e;
        }
    }

    private void publish() throws IOException, InterruptedException {
        Path revision = directory.resolve("revision.json");
        RevisionFile.write(revision, member.storeAddresses(), size.routes(), size.tenants());
        Path log = directory.resolve("publish.log");
        List<String> arguments =
                List.of("fleet", "publish", revision.toString(), "--operators", operators.toString(), "--why", "bench");
        Process publish = new ProcessBuilder(JavaProcess.command(size.heapMb(HEAP_MB), TOOL_CLASS, arguments))
                .redirectErrorStream(true)
                .redirectOutput(log.toFile())
                .start();
        if (publish.waitFor() != 0) {
            throw new IOException(
                    "the revision was not published: " + Files.readString(log).strip());
        }
    }

    /** The server that is measured. */
    ServerProcess member() {
        return member;
    }

    @Override
    public void close() throws IOException, InterruptedException {
        member.close();
        voter.close();
    }
}
