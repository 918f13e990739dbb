package tallyweir.rules;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;

/** An ordered list of short rules, condition and effect, gone through after each input until none fires. */
public final class Rules {
    private record Rule(BooleanSupplier when, Runnable then) {}

    private final List<Rule> all = new ArrayList<>();

    public void add(BooleanSupplier when, Runnable then) {
        all.add(new Rule(when, then));
    }

    /** The first whose condition holds takes effect, then from the first again. */
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
