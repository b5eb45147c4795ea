/**
 * What clients and other processes are told: responses, typed errors with their status and wire
 * name, and the reading of JSON input with every faulty field named. Stateless.
 */
package applespindle.corelogic.api;
