package tallyweir.search;

import java.util.List;

/** The system under search, made of real components and a simulated environment, in one state of a search. */
public interface SearchableSystem {
    /** Describes everything that affects future behaviour; states with equal descriptions are treated as one. */
    String describe();

    /** Actions that can happen next. */
    List<String> enabledActions();

    /** Carries out one of the enabled actions. */
    void perform(String action);

    /** Whether nothing more would happen without an outside event, given these enabled actions. */
    boolean isQuiescent(List<String> enabled);

    /** Violation of a rule that holds only in quiescent states; null if there is none. */
    String quiescentViolation();

    /** Rules violated so far. */
    List<String> violations();
}
