/**
 * The control plane's quorum: who its members are, how they hear each other, and how the first of
 * them agree. Owns the view of the peers; the membership itself is a replicated key.
 */
package applespindle.corelogic.membership;
