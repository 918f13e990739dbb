package tallyweir.search;

import java.util.List;

/** Real parts and what is round them, at one moment of a search: what could happen next, and what has gone wrong. */
public interface World {
    /** All that its future hangs on; two that say the same are one. */
    String describe();

    /** What could happen next. */
    List<String> enabled();

    void act(String action);

    /** Whether nothing more would happen by itself, these being enabled. */
    boolean rests(List<String> enabled);

    /** What must not be in a world that rests, null if all is well. */
    String wrongAtRest();

    /** What has gone wrong so far. */
    List<String> wrong();
}
