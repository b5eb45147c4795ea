/** JSON, hashing and text helpers that know nothing of this system. Stateless. */
package applespindle.corelogic.common;
