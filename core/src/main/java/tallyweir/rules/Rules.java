package tallyweir.rules;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;

/** An ordered list of rules, each a condition and an action. */
public final class Rules {
    private record Rule(BooleanSupplier when, Runnable then) {}

    private final List<Rule> all = new ArrayList<>();

    /** Adds a rule after those added before. */
    public void add(BooleanSupplier condition, Runnable action) {
        all.add(new Rule(condition, action));
    }

    /** Runs the first rule whose condition holds and starts again from the first, until no condition holds. */
    public void settle() {
        for (int i = 0; i < all.size(); ) {
            if (all.get(i).when.getAsBoolean()) {
                all.get(i).then.run();
                i = 0;
            } else {
                i++;
            }
        }
    }
}
