package tallyweir.fleet;

import java.util.List;

/**
 * An error shown to an operator, one type for each kind. Each carries its facts, describes itself in one sentence and says in
 * another what the operator can do; the kind decides the exit code of the command. On the wire a fault is named by the simple
 * name of its type, so these names are fixed. Times are ms, except where a component says otherwise.
 */
public sealed interface Fault {
    /** What is wrong, in one sentence. */
    String what();

    /** What an operator can do, in one sentence. */
    String advice();

    /** The exit code of a command that fails with this fault. */
    int exit();

    /** This fault as an exception. */
    default FleetException thrown() {
        return new FleetException(this);
    }

    /** All kinds in the order of their exit codes. */
    static List<Class<? extends Fault>> kinds() {
        return List.of(
                NoLeader.class,
                LostRace.class,
                BodyFaulty.class,
                CannotTake.class,
                NoSuchRevision.class,
                OutcomeUnknown.class,
                ShutOut.class,
                NameTaken.class,
                NoPlace.class,
                NotYet.class,
                Stranger.class,
                LogFull.class,
                LogDamaged.class,
                NotFounded.class,
                EntryFaulty.class,
                DigestMismatch.class,
                UnknownRoot.class,
                QueueFull.class,
                KeyConflict.class);
    }

    /** No reachable voter is the leader, so the replicated state can be neither changed nor queried. */
    record NoLeader(String asked, long afterMs) implements Fault {
        @Override
        public String what() {
            return "no leader among " + asked + " within " + afterMs + " ms";
        }

        @Override
        public String advice() {
            return "check that more than half of the voters run and reach each other; servers continue meanwhile under the"
                    + " revision they have";
        }

        @Override
        public int exit() {
            return 10;
        }
    }

    /** Another change was made first. */
    record LostRace(long expected, long found, String by, long atMs) implements Fault {
        @Override
        public String what() {
            return "revision " + found + " by " + by + " at " + atMs + " ms since 1970 came first, " + expected
                    + " was expected to be the latest";
        }

        @Override
        public String advice() {
            return "look at that revision, then send the change again with it as the expected one if it is still wanted";
        }

        @Override
        public int exit() {
            return 11;
        }
    }

    /** The content of a revision is invalid. */
    record BodyFaulty(String faults) implements Fault {
        @Override
        public String what() {
            return "the revision cannot be proposed: " + faults;
        }

        @Override
        public String advice() {
            return "correct the named keys and publish again; nothing has changed";
        }

        @Override
        public int exit() {
            return 12;
        }
    }

    /** Too many servers reported that they cannot act on a revision. */
    record CannotTake(long revision, String reasons) implements Fault {
        @Override
        public String what() {
            return "revision " + revision + " was turned down: " + reasons;
        }

        @Override
        public String advice() {
            return "correct what the servers name, or send the request again with --force to leave them behind as stragglers";
        }

        @Override
        public int exit() {
            return 13;
        }
    }

    /** The revision does not exist or was never in force. */
    record NoSuchRevision(long revision, long newest) implements Fault {
        @Override
        public String what() {
            return "revision " + revision + " was never in force; the newest is " + newest;
        }

        @Override
        public String advice() {
            return "pick one that the audit shows as having been in force";
        }

        @Override
        public int exit() {
            return 14;
        }
    }

    /** A command was sent and not answered: it may have been carried out or not. */
    record OutcomeUnknown(String command) implements Fault {
        @Override
        public String what() {
            return "no answer came to command " + command + ": it may have been carried out or not";
        }

        @Override
        public String advice() {
            return "send it again with --again " + command + ", which acts once however often it is sent";
        }

        @Override
        public int exit() {
            return 15;
        }
    }

    /**
     * A server was shut out, which ended its incarnation.
     *
     * @param backAfter time until it may return, in tenths of a millisecond
     */
    record ShutOut(String server, String cause, long backAfter) implements Fault {
        @Override
        public String what() {
            return server + " is shut out: " + cause;
        }

        @Override
        public String advice() {
            return "remove the cause; the server returns by itself once " + backAfter / 10
                    + " ms have passed and its table is that" + " of the revision in force";
        }

        @Override
        public int exit() {
            return 16;
        }
    }

    /** Another server has the same name. */
    record NameTaken(String server, String listen) implements Fault {
        @Override
        public String what() {
            return "a server " + server + " that listens at " + listen + " is in the fleet or may still be running";
        }

        @Override
        public String advice() {
            return "give one of the two another name, or shut the other down in an orderly way";
        }

        @Override
        public int exit() {
            return 17;
        }
    }

    /** All slots of the fleet are in use. */
    record NoPlace(int places) implements Fault {
        @Override
        public String what() {
            return "all " + places + " server slots of the fleet are in use";
        }

        @Override
        public String advice() {
            return "shut down servers that are not needed, or create a fleet with a larger servers_most";
        }

        @Override
        public int exit() {
            return 18;
        }
    }

    /**
     * A server that was shut out has to wait before it may return.
     *
     * @param backAfter time until it may return, in tenths of a millisecond
     */
    record NotYet(String server, long backAfter) implements Fault {
        @Override
        public String what() {
            return server + " was shut out and may return in " + backAfter / 10 + " ms";
        }

        @Override
        public String advice() {
            return "wait; the time grows with each time it was shut out";
        }

        @Override
        public int exit() {
            return 19;
        }
    }

    /** The sender belongs to another fleet. */
    record Stranger(String theirs, String ours) implements Fault {
        @Override
        public String what() {
            return "a member of fleet " + theirs + " sent a request to fleet " + ours;
        }

        @Override
        public String advice() {
            return "correct fleet.name or the addresses of the voters in the operators' file";
        }

        @Override
        public int exit() {
            return 20;
        }
    }

    /** A voter could not write its log. */
    record LogFull(String voter, String why) implements Fault {
        @Override
        public String what() {
            return "the log of voter " + voter + " cannot be written: " + why;
        }

        @Override
        public String advice() {
            return "free space on its disk and start it again; the others continue while they are more than half";
        }

        @Override
        public int exit() {
            return 21;
        }
    }

    /** A voter's log cannot be read. */
    record LogDamaged(String voter, String why) implements Fault {
        @Override
        public String what() {
            return "the log of voter " + voter + " cannot be read: " + why;
        }

        @Override
        public String advice() {
            return "move its directory away and start it empty while the others are more than half: they send it the state";
        }

        @Override
        public int exit() {
            return 22;
        }
    }

    /** The voters have not created the fleet yet. */
    record NotFounded(String fleet) implements Fault {
        @Override
        public String what() {
            return "fleet " + fleet + " has not been created yet";
        }

        @Override
        public String advice() {
            return "start more than half of its voters; the first leader creates it";
        }

        @Override
        public int exit() {
            return 23;
        }
    }

    /**
     * An entry of a change is not valid in a table: its kind is unknown, its value is out of range, or it is too long.
     */
    record EntryFaulty(String key, String why) implements Fault {
        @Override
        public String what() {
            return "the entry " + key + " cannot be taken: " + why;
        }

        @Override
        public String advice() {
            return "correct that entry and send the change again; nothing has changed";
        }

        @Override
        public int exit() {
            return 24;
        }
    }

    /** Fetched data does not hash to the expected digest. */
    record DigestMismatch(String wanted, String found) implements Fault {
        @Override
        public String what() {
            return "the fetched data hashes to " + found + " instead of " + wanted;
        }

        @Override
        public String advice() {
            return "no action if it happens once, as the data is fetched again; if it repeats, look for corruption between here and the voters";
        }

        @Override
        public int exit() {
            return 25;
        }
    }

    /** A difference was requested, or given, from a table that the fleet does not retain. */
    record UnknownRoot(String root) implements Fault {
        @Override
        public String what() {
            return "no revision of the fleet has a table with the root " + root;
        }

        @Override
        public String advice() {
            return "fetch the whole table instead; a command must be made again from the revision in force";
        }

        @Override
        public int exit() {
            return 26;
        }
    }

    /** Too many changes wait for the proposed revision to be decided. */
    record QueueFull(int waiting, long againMs) implements Fault {
        @Override
        public String what() {
            return "the maximum of " + waiting + " changes wait already";
        }

        @Override
        public String advice() {
            return "send the same command again after the given time";
        }

        @Override
        public int exit() {
            return 27;
        }
    }

    /** Another operator's change of the same entry came first or waits to be made. */
    record KeyConflict(String key, String by, long atMs) implements Fault {
        @Override
        public String what() {
            return "the entry " + key + " was changed first, by " + by + " at " + atMs + " ms since 1970";
        }

        @Override
        public String advice() {
            return "look at its current value, then make the change again if it is still wanted";
        }

        @Override
        public int exit() {
            return 28;
        }
    }
}
