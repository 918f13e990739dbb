package tallyweir.fleet;

import java.util.List;

/**
 * An error shown to an operator, one type for each kind. Each carries its facts, describes itself in one sentence and says in
 * another what the operator can do; the kind decides the exit code of the command. On the wire a fault is named by the simple
 * name of its type, so these names are fixed. Times are ms, except where a component says otherwise.
 */
public sealed interface Fault {
    /** What is wrong, in one sentence. */
    String description();

    /** What an operator can do, in one sentence. */
    String advice();

    /** The exit code of a command that fails with this fault. */
    int exitCode();

    /** This fault as an exception. */
    default FleetException toException() {
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
    record NoLeader(String voters, long timeoutMs) implements Fault {
        @Override
        public String description() {
            return "no leader among " + voters + " within " + timeoutMs + " ms";
        }

        @Override
        public String advice() {
            return "check that more than half of the voters run and reach each other; servers continue meanwhile under the"
                    + " revision they have";
        }

        @Override
        public int exitCode() {
            return 10;
        }
    }

    /** Another change was made first. */
    record LostRace(long expected, long found, String author, long atMs) implements Fault {
        @Override
        public String description() {
            return "revision " + found + " by " + author + " at " + atMs + " ms since 1970 came first, " + expected
                    + " was expected to be the latest";
        }

        @Override
        public String advice() {
            return "look at that revision, then send the change again with it as the expected one if it is still wanted";
        }

        @Override
        public int exitCode() {
            return 11;
        }
    }

    /** The content of a revision is invalid. */
    record BodyFaulty(String faults) implements Fault {
        @Override
        public String description() {
            return "the revision cannot be proposed: " + faults;
        }

        @Override
        public String advice() {
            return "correct the named keys and publish again; nothing has changed";
        }

        @Override
        public int exitCode() {
            return 12;
        }
    }

    /** Too many servers reported that they cannot act on a revision. */
    record CannotTake(long revision, String reasons) implements Fault {
        @Override
        public String description() {
            return "revision " + revision + " was turned down: " + reasons;
        }

        @Override
        public String advice() {
            return "correct what the servers name, or send the request again with --force to leave them behind as stragglers";
        }

        @Override
        public int exitCode() {
            return 13;
        }
    }

    /** The revision does not exist or was never in force. */
    record NoSuchRevision(long revision, long newest) implements Fault {
        @Override
        public String description() {
            return "revision " + revision + " was never in force; the newest is " + newest;
        }

        @Override
        public String advice() {
            return "pick one that the audit shows as having been in force";
        }

        @Override
        public int exitCode() {
            return 14;
        }
    }

    /** A command was sent and not answered: it may have been carried out or not. */
    record OutcomeUnknown(String command) implements Fault {
        @Override
        public String description() {
            return "no answer came to command " + command + ": it may have been carried out or not";
        }

        @Override
        public String advice() {
            return "send it again with --again " + command + ", which acts once however often it is sent";
        }

        @Override
        public int exitCode() {
            return 15;
        }
    }

    /**
     * A server was shut out, which ended its incarnation.
     *
     * @param returnDelayTenthsMs time until it may return, in tenths of a millisecond
     */
    record ShutOut(String server, String cause, long returnDelayTenthsMs) implements Fault {
        @Override
        public String description() {
            return server + " is shut out: " + cause;
        }

        @Override
        public String advice() {
            return "remove the cause; the server returns by itself once " + returnDelayTenthsMs / 10
                    + " ms have passed and its table is that" + " of the revision in force";
        }

        @Override
        public int exitCode() {
            return 16;
        }
    }

    /** Another server has the same name. */
    record NameTaken(String server, String listenAddress) implements Fault {
        @Override
        public String description() {
            return "a server " + server + " that listens at " + listenAddress
                    + " is in the fleet or may still be running";
        }

        @Override
        public String advice() {
            return "give one of the two another name, or shut the other down in an orderly way";
        }

        @Override
        public int exitCode() {
            return 17;
        }
    }

    /** All slots of the fleet are in use. */
    record NoPlace(int slots) implements Fault {
        @Override
        public String description() {
            return "all " + slots + " server slots of the fleet are in use";
        }

        @Override
        public String advice() {
            return "shut down servers that are not needed, or create a fleet with a larger servers_most";
        }

        @Override
        public int exitCode() {
            return 18;
        }
    }

    /**
     * A server that was shut out has to wait before it may return.
     *
     * @param returnDelayTenthsMs time until it may return, in tenths of a millisecond
     */
    record NotYet(String server, long returnDelayTenthsMs) implements Fault {
        @Override
        public String description() {
            return server + " was shut out and may return in " + returnDelayTenthsMs / 10 + " ms";
        }

        @Override
        public String advice() {
            return "wait; the time grows with each time it was shut out";
        }

        @Override
        public int exitCode() {
            return 19;
        }
    }

    /** The sender belongs to another fleet. */
    record Stranger(String senderFleet, String thisFleet) implements Fault {
        @Override
        public String description() {
            return "a member of fleet " + senderFleet + " sent a request to fleet " + thisFleet;
        }

        @Override
        public String advice() {
            return "correct fleet.name or the addresses of the voters in the operators' file";
        }

        @Override
        public int exitCode() {
            return 20;
        }
    }

    /** A voter could not write its log. */
    record LogFull(String voter, String reason) implements Fault {
        @Override
        public String description() {
            return "the log of voter " + voter + " cannot be written: " + reason;
        }

        @Override
        public String advice() {
            return "free space on its disk and start it again; the others continue while they are more than half";
        }

        @Override
        public int exitCode() {
            return 21;
        }
    }

    /** A voter's log cannot be read. */
    record LogDamaged(String voter, String reason) implements Fault {
        @Override
        public String description() {
            return "the log of voter " + voter + " cannot be read: " + reason;
        }

        @Override
        public String advice() {
            return "move its directory away and start it empty while the others are more than half: they send it the state";
        }

        @Override
        public int exitCode() {
            return 22;
        }
    }

    /** The voters have not created the fleet yet. */
    record NotFounded(String fleet) implements Fault {
        @Override
        public String description() {
            return "fleet " + fleet + " has not been created yet";
        }

        @Override
        public String advice() {
            return "start more than half of its voters; the first leader creates it";
        }

        @Override
        public int exitCode() {
            return 23;
        }
    }

    /**
     * An entry of a change is not valid in a table: its kind is unknown, its value is out of range, or it is too long.
     */
    record EntryFaulty(String key, String reason) implements Fault {
        @Override
        public String description() {
            return "the entry " + key + " cannot be taken: " + reason;
        }

        @Override
        public String advice() {
            return "correct that entry and send the change again; nothing has changed";
        }

        @Override
        public int exitCode() {
            return 24;
        }
    }

    /** Fetched data does not hash to the expected digest. */
    record DigestMismatch(String expected, String actual) implements Fault {
        @Override
        public String description() {
            return "the fetched data hashes to " + actual + " instead of " + expected;
        }

        @Override
        public String advice() {
            return "no action if it happens once, as the data is fetched again; if it repeats, look for corruption between here and the voters";
        }

        @Override
        public int exitCode() {
            return 25;
        }
    }

    /** A difference was requested, or given, from a table that the fleet does not retain. */
    record UnknownRoot(String root) implements Fault {
        @Override
        public String description() {
            return "no revision of the fleet has a table with the root " + root;
        }

        @Override
        public String advice() {
            return "fetch the whole table instead; a command must be made again from the revision in force";
        }

        @Override
        public int exitCode() {
            return 26;
        }
    }

    /** Too many changes wait for the proposed revision to be decided. */
    record QueueFull(int waiting, long retryAfterMs) implements Fault {
        @Override
        public String description() {
            return "the maximum of " + waiting + " changes wait already";
        }

        @Override
        public String advice() {
            return "send the same command again after the given time";
        }

        @Override
        public int exitCode() {
            return 27;
        }
    }

    /** Another operator's change of the same entry came first or waits to be made. */
    record KeyConflict(String key, String author, long atMs) implements Fault {
        @Override
        public String description() {
            return "the entry " + key + " was changed first, by " + author + " at " + atMs + " ms since 1970";
        }

        @Override
        public String advice() {
            return "look at its current value, then make the change again if it is still wanted";
        }

        @Override
        public int exitCode() {
            return 28;
        }
    }
}
