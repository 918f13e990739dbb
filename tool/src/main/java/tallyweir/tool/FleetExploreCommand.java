package tallyweir.tool;

import java.io.PrintWriter;
import java.util.EnumSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;
import tallyweir.fleet.Explorer;
import tallyweir.fleet.Guard;
import tallyweir.search.ExhaustiveSearch;

/** Plays every order of events over the real classes, with all guards and without each. */
@CommandLine.Command(
        name = "explore",
        mixinStandardHelpOptions = true,
        description =
                "Plays every order of events of a few servers over the real classes, and each guard switched off, which"
                        + " must be missed: stop, restart, race and transfer are the scenes. Exit code 1 if not.")
final class FleetExploreCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Option(names = "--without", description = "One guard only: ${COMPLETION-CANDIDATES}. WHOLE is not of this check.")
    private Guard without;

    @Option(names = "--most", defaultValue = "3000000", description = "States at the most (${DEFAULT-VALUE}).")
    private long most;

    @Override
    public Integer call() {
        if (without != null && !Explorer.scenesByGuard().containsKey(without)) {
            throw new ParameterException(spec.commandLine(), without + " is not of this check");
        }
        return without != null ? one() : all();
    }

    private int one() {
        ExhaustiveSearch.SearchResult seen =
                Explorer.explore(Explorer.scenesByGuard().get(without), EnumSet.of(without), most);
        String found = seen.violations().isEmpty()
                ? "nothing wrong"
                : seen.violations().get(0);
        out().println("without " + without + ": " + found);
        return seen.violations().isEmpty() ? 0 : 1;
    }

    private int all() {
        boolean good = true;
        for (Explorer.Scene scene : Explorer.Scene.values()) {
            ExhaustiveSearch.SearchResult seen = Explorer.explore(scene, Set.of(), most);
            out().println(scene + ": states " + seen.states() + ", steps " + seen.steps() + ", ends "
                    + seen.quiescentStates() + ", wrong " + seen.violations());
            good &= seen.violations().isEmpty();
        }
        for (Map.Entry<Guard, Explorer.Scene> guard : Explorer.scenesByGuard().entrySet()) {
            ExhaustiveSearch.SearchResult seen = Explorer.explore(guard.getValue(), EnumSet.of(guard.getKey()), most);
            boolean missed =
                    !seen.violations().isEmpty() && !seen.violations().get(0).startsWith("given up");
            out().println("without " + guard.getKey() + ": "
                    + (missed ? seen.violations().get(0) : "NOT MISSED"));
            good &= missed;
        }
        out().println("fleet explore: " + (good ? "good" : "BAD"));
        return good ? 0 : 1;
    }

    private PrintWriter out() {
        return spec.commandLine().getOut();
    }
}
