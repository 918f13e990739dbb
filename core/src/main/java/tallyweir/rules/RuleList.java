package tallyweir.rules;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;

/** An ordered list of rules, each a condition and an action. */
public final class RuleList {
    private record Rule(BooleanSupplier condition, Runnable action) {}

    private final List<Rule> rules = new ArrayList<>();

    /** Adds a rule after those added before. */
    public void add(BooleanSupplier condition, Runnable action) {
        rules.add(new Rule(condition, action));
    }

    /** Runs the first rule whose condition holds and starts again from the first, until no condition holds. */
    public void runUntilStable() {
        for (int i = 0; i < rules.size(); ) {
            if (rules.get(i).condition.getAsBoolean()) {
                rules.get(i).action.run();
                i = 0;
            } else {
                i++;
            }
        }
    }
}
