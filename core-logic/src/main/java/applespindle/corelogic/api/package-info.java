/**
 * The outer form of requests and responses: typed errors, responses, and the validation of input.
 *
 * <p>{@link applespindle.corelogic.api.ApiError} is the closed set of errors that clients and other
 * processes can receive; one table maps each to its wire name and HTTP status. {@link
 * applespindle.corelogic.api.Response} carries a status and a JSON body, often that of an error.
 * {@link applespindle.corelogic.api.InputReader} turns JSON from outside into records and reports
 * every invalid field; {@link applespindle.corelogic.api.ConstraintChecker} is its fast path for
 * values that are known to be well-formed.
 *
 * <p>Invariants: wire names and the JSON of errors never change; invalid input is a result, never
 * an exception. Nothing here knows what a request does.
 */
package applespindle.corelogic.api;
