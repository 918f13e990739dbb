/**
 * What a revision says, as a set of typed entries in an immutable table. A change makes a new table that shares all that is
 * equal with the one before; the digest of its root names the whole. Two tables are equal exactly if their roots are.
 */
package tallyweir.fleet.table;
