/**
 * All constants of the system, a class for each subsystem, each constant with its unit and its
 * reason. Nothing here depends on another package.
 */
package applespindle.corelogic.constants;
