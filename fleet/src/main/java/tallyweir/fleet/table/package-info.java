/**
 * The content of a revision: a set of typed entries in an immutable table. Applying changes creates a new table that shares
 * every unchanged subtree with the old one. The digest of its root identifies the complete content: two tables are equal exactly
 * if their root digests are equal.
 */
package tallyweir.fleet.table;
