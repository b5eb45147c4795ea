/**
 * The constants of the system: timeouts, intervals, sizes and limits, in one class for each
 * subsystem. Values that an operator can set are defaults here and stand in the configuration.
 *
 * <p>Each constant states what it bounds, its unit (by the suffix of its name: {@code _MS}, {@code
 * _S}, {@code _BYTES}) and why it has its value. Constants whose values depend on each other refer
 * to each other. The package depends on no other one.
 */
package applespindle.corelogic.constants;
